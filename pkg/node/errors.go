package node

import "errors"

// Errors returned to other nodes.
var (
	errServiceMismatch     = errors.New("node: the upstream beside this node serves another service")
	errIncarnationMismatch = errors.New("node: the call is for another incarnation")
)
