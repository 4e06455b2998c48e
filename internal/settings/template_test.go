package settings

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// placeholder is a value of the deployment's template, as JSON or as text.
var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// section is a part of the template that is rendered for each entry of a list, or
// once if a value is present.
var section = regexp.MustCompile(`\{\{#([a-z0-9.-]+)\}\}`)

// lookup returns the value of a field, or nil.
func lookup(fields any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch at := fields.(type) {
		case map[string]any:
			fields = at[name]
		case []any:
			fields = at[int(name[0]-'0')]
		default:
			return nil
		}
	}
	return fields
}

// renderSections renders the sections of a template, the outermost first.
func renderSections(template string, fields map[string]any) string {
	for {
		at := section.FindStringSubmatchIndex(template)
		if at == nil {
			return template
		}
		name := template[at[2]:at[3]]
		end := "{{/" + name + "}}"
		body, rest, _ := strings.Cut(template[at[1]:], end)
		out := ""
		switch v := lookup(fields, name).(type) {
		case nil:
		case bool:
			if v {
				out = body
			}
		case []any:
			for i, one := range v {
				data, _ := json.Marshal(one)
				text := strings.ReplaceAll(body, "{{.|json}}", string(data))
				out += strings.ReplaceAll(text, "{{,}}", map[bool]string{true: ",", false: ""}[i < len(v)-1])
			}
		default:
			out = body
		}
		template = template[:at[0]] + out + rest
	}
}

// render fills in a template from fields. It knows only what ours uses.
func render(t *testing.T, template string, fields map[string]any) string {
	t.Helper()
	return placeholder.ReplaceAllStringFunc(renderSections(template, fields), func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		v := lookup(fields, m[1])
		data, err := json.Marshal(v)
		if err != nil || v == nil {
			t.Fatalf("no value for %s", text)
		}
		if m[2] != "" {
			return string(data)
		}
		return strings.Trim(string(data), `"`)
	})
}

// The deployment's template must render to settings that the daemon takes.
func TestDeploymentsTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile("testdata/boot.json")
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	s, faults := parse([]byte(render(t, string(template), fields)))
	if len(faults) > 0 {
		t.Fatalf("faults:\n%v", faults)
	}
	g := s.Gateway
	if s.Host != "front-a-1" || len(s.Peers) != 2 || s.Platform.URL != "http://10.200.1.7:8223" {
		t.Errorf("settings %+v", s)
	}
	if got := g.Machine.Capacity(); got != 226 {
		t.Errorf("the capacity is %d", got)
	}
	if g.RevokeAfter.Std() != 5*time.Second || g.Grace.Std() != 8*time.Second || g.BeaconPort != 7340 || g.Retry.Share != 0.2 {
		t.Errorf("gateway %+v", g)
	}
}

// Guards against settings of a platform with duties that the daemon refuses, and
// against duties where the platform has none.
func TestTemplateWithDuties(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile("testdata/boot.json")
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if s, _ := parse([]byte(render(t, string(template), fields))); s.Gateway.Duties != nil {
		t.Error("there are duties without a platform that asks for them")
	}
	fields["cloud"] = map[string]any{"address": "10.200.0.1:8224", "duty-per-s": 50.0, "duties": []any{"usage_report"}}
	bounds := fields["bounds"].(map[string]any) //nolint:forcetypeassert // a test's own data
	for name, value := range map[string]any{"require-fence": true, "lease-ms": 3000, "report-window-s": 5, "usage-late-s": 10} {
		bounds[name] = value
	}
	s, faults := parse([]byte(render(t, string(template), fields)))
	if len(faults) > 0 {
		t.Fatalf("faults:\n%v", faults)
	}
	d := s.Gateway.Duties
	for _, name := range []string{"require-fence", "lease-ms", "report-window-s", "usage-late-s"} {
		delete(bounds, name)
		if _, faults := parse([]byte(render(t, string(template), fields))); len(faults) > 0 {
			t.Errorf("without %s and those before it: %v", name, faults)
		}
	}
	if d.URL != "http://10.200.0.1:8224" || !d.ChecksFence || d.LeaseDuration.Std() != 3*time.Second || len(d.Names) != 1 ||
		d.UsageWindow.Std() != 5*time.Second || d.UsageDue.Std() != 10*time.Second {
		t.Errorf("duties %+v", d)
	}
}

// Every fault of the gateway's part is told at once.
func TestGatewayFaults(t *testing.T) {
	data := `{"host":"h","region":"r","zone":"z","callerAddress":"10.0.0.1:1","peerAddress":"10.0.0.1:2","operatorAddress":"10.0.0.1:3",
	 "platform":{"url":"http://10.0.0.9:1","timeout":"1s"},
	 "gateway":{"readyAddress":"x","directoryAddress":"10.0.0.1:5","endpointProxy":"proxy","beaconPort":0,"addressLifetime":"0s","revokeAfter":"10ms","grace":"0s",
	  "retry":{"share":-1,"slack":-1,"window":"0s"}}}`
	_, faults := parse([]byte(data))
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	want := "gateway.readyAddress gateway.endpointProxy gateway.beaconPort gateway.addressLifetime gateway.revokeAfter gateway.grace gateway.retry.share gateway.retry.slack gateway.retry.window"
	if got := strings.Join(paths, " "); got != want {
		t.Errorf("faults at %s\nwant %s", got, want)
	}
}
