package jaypitch

import "net/http"

// SetHead marks a response as one to HEAD if that is the method of its request, and takes over the length that the HTTP response announces.
func (r *MeshResponse) SetHead(method string, a *http.Response) {
	if method != http.MethodHead {
		return
	}
	r.Head, r.HeadLength = true, a.Header.Get("Content-Length")
	// No body follows, whatever its length would be.
	a.ContentLength = 0
}
