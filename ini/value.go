package ini

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

var nameFormat = regexp.MustCompile(`^[a-z0-9][a-z0-9_]{0,62}$`)

// Allowed returns a phrase that describes the values that a field allows. It begins with "allowed is ".
func Allowed(f protoreflect.FieldDescriptor) string {
	rule := RuleOf(f)
	switch {
	case rule.GetKind() == schema.Kind_KIND_DURATION:
		return fmt.Sprintf("allowed is a duration from %s to %s", micros(rule.GetMin()), micros(rule.GetMax()))
	case f.Kind() == protoreflect.Int64Kind:
		return fmt.Sprintf("allowed is a whole number from %d to %d", rule.GetMin(), rule.GetMax())
	case f.Kind() == protoreflect.BoolKind:
		return "allowed is true or false"
	case len(rule.GetValues()) > 0:
		return "allowed is one of " + strings.Join(rule.GetValues(), ", ")
	case rule.GetKind() == schema.Kind_KIND_ADDRESS:
		return "allowed is an IP address and a port, such as 127.0.0.1:7000"
	case rule.GetKind() == schema.Kind_KIND_NAME:
		return "allowed is a name of lower-case letters, digits and underscores, at most 63"
	case rule.GetKind() == schema.Kind_KIND_NAME_OR_ANY:
		return "allowed is a list of names, or *"
	}
	return "allowed is any text"
}

// setField parses a text into a field. The elements of a list are separated by commas. It returns CodeOK, or a result code and a reason.
func setField(m protoreflect.Message, f protoreflect.FieldDescriptor, text string) (jaypitch.Code, string) {
	if !f.IsList() {
		v, code, reason := parseValue(f, text)
		if code == jaypitch.CodeOK {
			m.Set(f, v)
		}
		return code, reason
	}
	seen := map[string]bool{}
	list := m.Mutable(f).List()
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if seen[part] {
			return jaypitch.CodeDuplicate, fmt.Sprintf("%q occurs twice", part)
		}
		seen[part] = true
		v, code, reason := parseValue(f, part)
		if code != jaypitch.CodeOK {
			return code, reason
		}
		list.Append(v)
	}
	return jaypitch.CodeOK, ""
}

func parseValue(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, jaypitch.Code, string) {
	rule := RuleOf(f)
	switch {
	case rule.GetKind() == schema.Kind_KIND_DURATION:
		return parseDuration(f, rule, text)
	case f.Kind() == protoreflect.Int64Kind:
		return parseNumber(f, rule, text)
	case f.Kind() == protoreflect.BoolKind:
		return parseBool(f, text)
	}
	return parseText(f, rule, text)
}

func parseDuration(f protoreflect.FieldDescriptor, rule *schema.Rule, text string) (protoreflect.Value, jaypitch.Code, string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return protoreflect.Value{}, jaypitch.CodeWrongType, fmt.Sprintf("%q is not a duration; %s", text, Allowed(f))
	}
	if n := d.Microseconds(); n < rule.GetMin() || n > rule.GetMax() {
		return protoreflect.Value{}, jaypitch.CodeOutOfRange, fmt.Sprintf("%s is out of range; %s", text, Allowed(f))
	}
	return protoreflect.ValueOfInt64(d.Microseconds()), jaypitch.CodeOK, ""
}

func parseNumber(f protoreflect.FieldDescriptor, rule *schema.Rule, text string) (protoreflect.Value, jaypitch.Code, string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return protoreflect.Value{}, jaypitch.CodeWrongType, fmt.Sprintf("%q is not a whole number; %s", text, Allowed(f))
	}
	if n < rule.GetMin() || n > rule.GetMax() {
		return protoreflect.Value{}, jaypitch.CodeOutOfRange, fmt.Sprintf("%d is out of range; %s", n, Allowed(f))
	}
	return protoreflect.ValueOfInt64(n), jaypitch.CodeOK, ""
}

func parseBool(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, jaypitch.Code, string) {
	if text != "true" && text != "false" {
		return protoreflect.Value{}, jaypitch.CodeWrongType, fmt.Sprintf("%q is neither true nor false; %s", text, Allowed(f))
	}
	return protoreflect.ValueOfBool(text == "true"), jaypitch.CodeOK, ""
}

func parseText(f protoreflect.FieldDescriptor, rule *schema.Rule, text string) (protoreflect.Value, jaypitch.Code, string) {
	value := protoreflect.ValueOfString(text)
	if len(rule.GetValues()) > 0 && !slices.Contains(rule.GetValues(), text) {
		return value, jaypitch.CodeNotAllowed, fmt.Sprintf("%q is not allowed; %s", text, Allowed(f))
	}
	switch rule.GetKind() {
	case schema.Kind_KIND_ADDRESS:
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			return value, jaypitch.CodeBadAddress, fmt.Sprintf("%q is not an IP address with a port; %s", text, Allowed(f))
		}
	case schema.Kind_KIND_NAME_OR_ANY:
		if text != "*" && !nameFormat.MatchString(text) {
			return value, jaypitch.CodeBadName, fmt.Sprintf("%q is not a name; %s", text, Allowed(f))
		}
	case schema.Kind_KIND_NAME:
		if !nameFormat.MatchString(text) {
			return value, jaypitch.CodeBadName, fmt.Sprintf("%q is not a name; %s", text, Allowed(f))
		}
	}
	return value, jaypitch.CodeOK, ""
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
