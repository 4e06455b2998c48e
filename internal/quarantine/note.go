package quarantine

import "log/slog"

// Message tells callers and the log why a request is kept back.
const Message = "endpoints have ended under this request"

// Note returns what logs and counts that a request is sent no more, or again;
// see List.Changed.
func Note(logger *slog.Logger, count func(name string)) func(Fingerprint, bool) {
	return func(f Fingerprint, kept bool) {
		if kept {
			count("quarantine.begun")
			logger.Warn("request quarantined", "fingerprint", f.String())
			return
		}
		count("quarantine.ended")
		logger.Warn("request released", "fingerprint", f.String())
	}
}
