// Package hostile tests sidecars as processes with clients that keep no limits. A test checks only what doesn't depend on the speed of the
// machine: that the process lives, that its memory and open descriptors stay under a bound, and that an ordinary request is answered afterwards.
package hostile
