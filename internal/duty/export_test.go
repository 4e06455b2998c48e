package duty

import "context"

// Step runs one round of the lease's loop.
func (t *Tenure) Step(ctx context.Context) { t.step(ctx) }

// Step runs one round of the reporting loop.
func (x *Exchange) Step() { x.step() }

// SendDue sends the windows that are due.
func (r *Reporter) SendDue(ctx context.Context) { r.sendDue(ctx) }

// Step makes one decision.
func (s *Scaler) Step(ctx context.Context) { s.step(ctx) }

// EncodeReport encodes a report in datagrams.
var EncodeReport = encodeReport
