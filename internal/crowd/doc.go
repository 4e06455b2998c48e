// Package crowd has tests that start daemons as processes and play crowds of clients that
// send too much, too slowly or without end. They check that a daemon lives, that its memory
// and its open descriptors stay below those of its host, and that an ordinary caller is
// answered. They run with the build tag crowd, one at a time and apart from other load.
package crowd
