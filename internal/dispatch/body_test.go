package dispatch

import (
	"encoding/json"
	"testing"
)

// Guards against two assistant messages when a response is resumed that the
// caller itself began. The next engine must get a single one that contains the
// caller's text followed by the text that was delivered.
func TestResumeAppendsToPartialResponseOfCaller(t *testing.T) {
	for _, c := range []struct{ name, fields, want string }{
		{
			"a plain question",
			`{"messages":[{"role":"user","content":"a"}]}`,
			`[{"role":"user","content":"a"},{"role":"assistant","content":"so far"}]`,
		},
		{
			"an answer that the caller began",
			`{"messages":[{"role":"user","content":"a"},{"role":"assistant","content":"It is "}],"continue_final_message":true}`,
			`[{"role":"user","content":"a"},{"role":"assistant","content":"It is so far"}]`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			fields := map[string]json.RawMessage{}
			if err := json.Unmarshal([]byte(c.fields), &fields); err != nil {
				t.Fatal(err)
			}
			if err := continueFrom(fields, "so far"); err != nil {
				t.Fatal(err)
			}
			if got := string(fields["messages"]); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
