package quarantine

import "log/slog"

// Message is the explanation given for a quarantined request.
const Message = "endpoints have ended under this request"

// ReportChanges returns a callback for List.OnChange that logs and counts when
// a request is quarantined or released.
func ReportChanges(logger *slog.Logger, count func(name string)) func(Fingerprint, bool) {
	return func(f Fingerprint, quarantined bool) {
		if quarantined {
			count("quarantine.begun")
			logger.Warn("request quarantined", "fingerprint", f.String())
			return
		}
		count("quarantine.ended")
		logger.Warn("request released", "fingerprint", f.String())
	}
}
