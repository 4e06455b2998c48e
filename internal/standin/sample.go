package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// Pools of the sample table.
const (
	SampleModel   table.Pool = "assistant"
	SampleService table.Pool = "booking"
)

// Keys of the sample table's accounts.
const (
	StudioKey = "studio-key"
	KioskKey  = "kiosk-key"
)

// KeyHash returns what the table keeps of an API key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// SampleClasses returns classes as both offices have them.
func SampleClasses() []table.Class {
	second := func(n float64) table.Duration { return table.Duration(n * float64(time.Second)) }
	model, both := []table.Pool{SampleModel}, []table.Pool{SampleModel, SampleService}
	return []table.Class{
		{Name: "summary", Tier: 0, Weight: 2, Pools: model, Target: table.Target{FirstToken: second(1.3), BetweenTokens: second(0.2)}, MaxWait: second(20), Idempotent: true},
		{Name: "counter", Tier: 0, Weight: 4, Pools: both, Target: table.Target{FirstToken: second(1.3), BetweenTokens: second(0.2)}, MaxWait: second(10), Idempotent: true},
		{Name: "slots", Tier: 1, Weight: 4, Pools: both, Target: table.Target{FirstToken: second(2), BetweenTokens: second(0.3)}, MaxWait: second(20), Idempotent: true},
		{Name: "booking", Tier: 0, Weight: 4, Pools: []table.Pool{SampleService}, Target: table.Target{WholeAnswer: second(3)}, MaxWait: second(5)},
		{Name: "checks", Tier: 2, Weight: 2, Pools: both, Target: table.Target{FirstToken: second(4)}, MaxWait: second(30), Idempotent: true, Preemptible: true},
		{Name: "notes", Tier: 3, Weight: 1, Pools: model, Target: table.Target{FirstToken: second(10)}, MaxWait: second(60), Idempotent: true, Preemptible: true},
	}
}

// SampleTable returns the classes and accounts of both offices with the given
// endpoints.
func SampleTable(endpoints []table.Endpoint) *table.Table {
	return &table.Table{
		Classes:   SampleClasses(),
		Endpoints: endpoints,
		Accounts: []table.Account{
			{Name: "studio", KeyHashes: []string{KeyHash(StudioKey)}, Classes: []table.ClassName{"slots", "summary", "booking", "checks"}},
			{Name: "kiosk", KeyHashes: []string{KeyHash(KioskKey)}, Classes: []table.ClassName{"counter", "booking", "notes"}},
		},
	}
}
