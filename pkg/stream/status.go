package stream

import "net/http"

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// ValidStatus reports whether the status may end a response (RFC 9110, section 15). net/http accepts
// any three digits.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
