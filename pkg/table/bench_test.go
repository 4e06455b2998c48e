package table_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Design capacity; see docs/CAPACITY.md.
const (
	fullAccounts  = 6600
	fullEndpoints = 910
	fullModels    = 8
	fullClasses   = 24
)

// fullTable returns a table at design capacity.
func fullTable() *table.Versioned {
	t := &table.Table{}
	for i := range fullEndpoints {
		t.Endpoints = append(t.Endpoints, table.Endpoint{
			Name: table.EndpointName(fmt.Sprintf("engine-%d", i)), Kind: table.KindEngine, Pool: table.Pool(fmt.Sprintf("model-%d", i%fullModels)),
			URL: fmt.Sprintf("http://10.%d.%d.1:8000", i/256, i%256), Region: fmt.Sprintf("region-%d", i%2), Zone: fmt.Sprintf("zone-%d", i%6),
			Concurrency: 64, CanCancel: true, CanResume: true, EchoesID: true,
		})
	}
	for i := range fullClasses {
		t.Classes = append(t.Classes, table.Class{
			Name: table.ClassName(fmt.Sprintf("class-%d", i)), Tier: table.Tier(i % 4), Weight: 1 + i%5, Pools: []table.Pool{table.Pool(fmt.Sprintf("model-%d", i%fullModels))},
			Target: table.Target{FirstToken: table.Duration(1300 * time.Millisecond), BetweenTokens: table.Duration(26 * time.Millisecond)}, MaxWait: table.Duration(20 * time.Second), Idempotent: true,
		})
	}
	for i := range fullAccounts {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		t.Accounts = append(t.Accounts, table.Account{
			Name: table.AccountName(fmt.Sprintf("account-%d", i)), KeyHashes: []string{hex.EncodeToString(sum[:])},
			Classes: []table.ClassName{table.ClassName(fmt.Sprintf("class-%d", i%fullClasses)), table.ClassName(fmt.Sprintf("class-%d", (i+7)%fullClasses))},
		})
	}
	return &table.Versioned{Version: 1, Table: t}
}

// BenchmarkFullTable measures the cost of one edit at design capacity: the
// daemon that accepts it changes a row, and every daemon reads the result.
func BenchmarkFullTable(b *testing.B) {
	v := fullTable()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := v.Table.Set("class/class-3", map[string]string{"weight": "5"}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
		b.ReportMetric(float64(compressed.Len()), "gzip-bytes")
	})
	b.Run("adopt", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var t table.Versioned
			if err := json.Unmarshal(data, &t); err != nil || len(t.Table.Check()) > 0 {
				b.Fatal(err)
			}
			t.Table.BuildIndex()
		}
	})
	b.Run("find", func(b *testing.B) {
		v.Table.BuildIndex()
		for b.Loop() {
			if _, ok := v.Table.Account("account-6000"); !ok {
				b.Fatal("not found")
			}
		}
	})
}
