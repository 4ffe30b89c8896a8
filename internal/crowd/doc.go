// Package crowd tests real processes of mtmesh beside a crowd of callers outside the limits.
//
// Load pattern: some hundred connections at once whose headers are held open, have no end or never
// begin, at the listener for callers and at the listener for other nodes. Memory and descriptors in
// the settings of the processes are low, so that a small crowd shows what a large one does to a VM.
package crowd
