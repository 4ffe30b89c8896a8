package node

import "errors"

// Errors of the answers to other nodes.
var (
	errOtherService     = errors.New("node: the upstream beside this node serves another service")
	errOtherIncarnation = errors.New("node: the call is for another incarnation")
)
