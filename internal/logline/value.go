package logline

import (
	"log/slog"
	"strings"
)

const (
	// maxValueSize bounds a text in a line, in bytes: callers choose some of them.
	maxValueSize = 512
	// maxStackSize bounds the text of stackKey, the stack of a panic.
	maxStackSize = 8 << 10
	stackKey     = "stack"
)

// CutValue cuts a text that is too long for a line; it is for slog.HandlerOptions.ReplaceAttr.
func CutValue(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() != slog.KindString {
		return a
	}
	text, limit := a.Value.String(), maxValueSize
	if a.Key == stackKey {
		limit = maxStackSize
	}
	if len(text) <= limit {
		return a
	}
	return slog.String(a.Key, strings.ToValidUTF8(text[:limit], "")+"...")
}
