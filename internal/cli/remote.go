package cli

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/operator"
	"github.com/beechhead/beechhead/internal/tablesync"
)

var (
	errUsage        = errors.New("wrong usage")
	errConflict     = errors.New("conflict")
	errUnauthorized = errors.New("unauthorized")
)

const remoteTimeout = 30 * time.Second

// remote are the options of commands that talk to a daemon.
type remote struct {
	output
	Daemon  string `long:"daemon" env:"BEECHHEAD_OPERATOR" value-name:"URL" default:"http://127.0.0.1:7402" description:"A daemon's operator address"`
	Key     string `long:"key" env:"BEECHHEAD_OPERATOR_KEY" default-mask:"-" value-name:"KEY" description:"Operator key; better in a file or the environment, where no list of processes shows it"`
	KeyFile string `long:"key-file" value-name:"FILE" description:"File with the operator key"`
	CA      string `long:"ca" env:"BEECHHEAD_OPERATOR_CA" value-name:"FILE" description:"PEM file with the CA of the daemons' certificates, for https"`
	Name    string `long:"operator" env:"USER" value-name:"NAME" description:"Name that the history shows"`
}

// call sends a request and decodes the JSON answer into out, which may be nil.
func (r *remote) call(method, path string, in, out any) (err error) {
	client, err := r.client()
	if err != nil {
		return err
	}
	req, err := r.request(method, path, in)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return unavailable{errors.Wrap(withoutURL(err), r.Daemon+" does not answer")}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return unavailable{errors.Wrap(err, "the answer is cut off")}
	}
	if resp.StatusCode/100 != 2 {
		return remoteError(resp.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "%s gives no answer of this API", r.Daemon)
	}
	return nil
}

func (r *remote) request(method, path string, in any) (*http.Request, error) {
	key, err := r.key()
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, strings.TrimSuffix(r.Daemon, "/")+path, body)
	if err != nil {
		return nil, errors.Wrapf(errUsage, "--daemon %s is no URL", r.Daemon)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if r.Name != "" {
		req.Header.Set(operator.HeaderOperator, r.Name)
	}
	return req, nil
}

func (r *remote) key() (string, error) {
	if r.KeyFile == "" {
		return r.Key, nil
	}
	data, err := os.ReadFile(r.KeyFile)
	if err != nil {
		return "", errors.Wrap(errUsage, err.Error())
	}
	return strings.TrimSpace(string(data)), nil
}

func (r *remote) client() (*http.Client, error) {
	client := &http.Client{Timeout: remoteTimeout}
	if r.CA == "" {
		return client, nil
	}
	data, err := os.ReadFile(r.CA)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Wrapf(errUsage, "%s holds no PEM certificate", r.CA)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	return client, nil
}

// withoutURL drops method and URL from an error of net/http's client.
func withoutURL(err error) error {
	if u, ok := errors.Into[*url.Error](err); ok {
		return u.Err
	}
	return err
}

// unavailable is the error of a daemon that does not answer or can't tell what
// became of a request.
type unavailable struct{ error }

// Unwrap returns the cause.
func (u unavailable) Unwrap() error { return u.error }

// conflictError is a conflict with another edit, with both sides.
type conflictError struct{ conflict *tablesync.Conflict }

// Error returns the versions, and each field on a line of its own.
func (e *conflictError) Error() string {
	lines := []string{"conflict: " + e.conflict.Error()}
	for _, row := range e.conflict.Rows {
		for _, f := range row.Fields {
			lines = append(lines, fmt.Sprintf("%s: %s: was %s, theirs %s, yours %s", row.Row, f.Field, shown(f.Base), shown(f.Theirs), shown(f.Mine)))
		}
	}
	return strings.Join(lines, "\n")
}

// Is makes it a conflict like any other.
func (e *conflictError) Is(target error) bool { return target == errConflict }

// shown returns a value, or a dash for a row that is not there.
func shown(value string) string {
	if value == "" {
		return "-"
	}
	return value
}

// remoteError returns the error of an answer that is not a success.
func remoteError(status int, data []byte) error {
	var e operator.Error
	if json.Unmarshal(data, &e) != nil || e.Message == "" {
		e.Message = http.StatusText(status)
	}
	switch {
	case len(e.Faults) > 0:
		return e.Faults
	case e.Conflict != nil:
		return &conflictError{e.Conflict}
	case status == http.StatusConflict:
		return errors.Wrap(errConflict, e.Message)
	case status == http.StatusUnauthorized:
		return errors.Wrap(errUnauthorized, e.Message)
	case status == http.StatusServiceUnavailable:
		return unavailable{errors.New(e.Message)}
	}
	return errors.New(e.Message)
}
