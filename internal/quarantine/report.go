package quarantine

import "log/slog"

// Message is the explanation given for a quarantined request.
const Message = "endpoints have ended under this request"

// PartMessage is the explanation given for a request with a quarantined part.
const PartMessage = "endpoints have ended under requests with a part of this prompt"

// ReportPartChanges returns a callback for Parts.OnChange that logs and counts when a
// part is quarantined or released.
func ReportPartChanges(logger *slog.Logger, count func(name string)) func(PartKey, bool) {
	return func(k PartKey, quarantined bool) {
		if quarantined {
			count("quarantine.partBegun")
			logger.Warn("part quarantined", "part", k.String())
			return
		}
		count("quarantine.partEnded")
		logger.Warn("part released", "part", k.String())
	}
}

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
