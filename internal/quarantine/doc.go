// Package quarantine keeps the requests under which endpoints have ended, so
// that no daemon sends them on for ever. See docs/design/quarantine.md.
package quarantine
