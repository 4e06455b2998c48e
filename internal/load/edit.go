package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/internal/tablesync"
)

const (
	editTimeout = 20 * time.Second
	editPoll    = 10 * time.Millisecond
)

// edit changes one row through the first daemon and returns after how long the
// edit was in force at half of the daemons and at all.
func (s *site) edit() (half, all time.Duration, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "edit")
		}
	}()
	began := time.Now()
	version, err := postEdit(s.Settings[0].OperatorAddress)
	if err != nil {
		return 0, 0, err
	}
	for time.Since(began) < editTimeout {
		inForce := s.countInForce(version)
		if 2*inForce >= len(s.Settings) && half == 0 {
			half = time.Since(began)
		}
		if inForce == len(s.Settings) {
			return half, time.Since(began), nil
		}
		time.Sleep(editPoll)
	}
	return 0, 0, errors.Errorf("not in force everywhere after %s", editTimeout)
}

func (s *site) countInForce(version int64) int {
	n := 0
	for _, cfg := range s.Settings {
		counts, err := readCounters(cfg.OperatorAddress)
		if err == nil && counts["table.version"] >= version {
			n++
		}
	}
	return n
}

func postEdit(operatorAddress string) (version int64, err error) {
	edit := tablesync.RowEdit{Row: "class/" + string(standin.MeasuredClass), Fields: map[string]string{"weight": "2"}}
	body, err := json.Marshal(edit)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+operatorAddress+"/v1/table/edits", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+standin.DemoOperatorKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d", resp.StatusCode)
	}
	var accepted tablesync.EditResult
	if err := json.NewDecoder(resp.Body).Decode(&accepted); err != nil {
		return 0, err
	}
	return int64(accepted.Version), nil
}
