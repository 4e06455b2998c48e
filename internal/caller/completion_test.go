package caller

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/engine"
)

// completionCase holds the chunks of a stream and the complete response assembled
// from them.
type completionCase struct {
	Name   string   `json:"name"`
	Chunks []string `json:"chunks"`
	Whole  any      `json:"whole"`
}

// A caller that requests a response without streaming gets everything that the
// engine streamed, not only the text.
func TestCompletionHasEveryPart(t *testing.T) {
	data, err := os.ReadFile("testdata/gather.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []completionCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			got := assemble(t, c.Chunks)
			if !reflect.DeepEqual(got, c.Whole) {
				t.Errorf("got  %v\nwant %v", got, c.Whole)
			}
		})
	}
}

func assemble(t *testing.T, chunks []string) (whole any) {
	t.Helper()
	g := newCompletion()
	var text strings.Builder
	for _, one := range chunks {
		chunk, err := engine.ParseChunk([]byte(one))
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(chunk.Text())
		if err := g.addChunk([]byte(one)); err != nil {
			t.Fatal(err)
		}
	}
	g.message["content"] = text.String()
	data, err := g.encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &whole); err != nil {
		t.Fatal(err)
	}
	return whole
}
