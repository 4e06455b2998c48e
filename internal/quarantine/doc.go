// Package quarantine tracks the requests during which endpoints have
// terminated, so that no daemon keeps sending them. See
// docs/design/quarantine.md.
package quarantine
