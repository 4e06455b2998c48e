// Package streamversion lets every daemon find out at which software version a
// stream began, so that a caller who takes the stream up at another daemon is served
// by that version. See docs/design/stream-versions.md.
package streamversion
