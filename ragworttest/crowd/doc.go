// Package crowd tests what clients out of control do to the processes that serve them. Its tests need the
// machine for themselves: they start crowds of connections, and measure the memory and the descriptors of
// the process that these come to.
package crowd
