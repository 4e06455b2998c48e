package stat

// InRange reports whether a value is between two others, or equal to one of them. NaN
// is not.
func InRange(v, least, most float64) bool { return v >= least && v <= most }
