package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Result is the outcome for the callers.
type Result struct {
	Classes []*ClassResult `json:"classes"`
	// Read counts the tokens of prompts that were read, ReadAgain those of
	// parts that some engine had read shortly before, Fetched those fetched.
	Read      int `json:"readTokens"`
	ReadAgain int `json:"readAgainTokens"`
	Fetched   int `json:"fetchedTokens"`
	// BodyBytes counts the bytes of bodies sent to engines, CrossZoneBytes those that
	// were sent to another availability zone.
	BodyBytes      int `json:"bodyBytes"`
	CrossZoneBytes int `json:"crossZoneBytes"`
	// Busiest is how long the busiest engine was busy, relative to the mean.
	Busiest float64 `json:"busiest"`
}

// ClassResult is the outcome of one class.
type ClassResult struct {
	Name  string `json:"name"`
	Asked int    `json:"asked"`
	// InTime counts whole answers within the target and without a long pause,
	// Late the other whole ones.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	// LateFirst and LatePause tell why answers were late or about to be.
	LateFirst int `json:"lateFirst"`
	LatePause int `json:"latePause"`
	Refused   int `json:"refused"`
	// Expired counts those that reached their deadline, Held those of them
	// that never had a place.
	Expired int `json:"expired"`
	Held    int `json:"held"`
	// Crashed counts those that a crash ended.
	Crashed int `json:"crashed"`

	// Windows holds the share in time of those that came in each two seconds.
	Windows []Window `json:"windows"`

	class *Class
}

// windowTime is the time of arrivals that a window has.
const windowTime = 2 * time.Second

// Window is a stretch of arrivals.
type Window struct {
	Asked  int `json:"asked"`
	InTime int `json:"inTime"`
}

func newResult(s *Scenario) *Result {
	res := &Result{}
	for i := range s.Classes {
		res.Classes = append(res.Classes, &ClassResult{Name: s.Classes[i].Name, class: &s.Classes[i]})
	}
	return res
}

// window returns the window of an arrival.
func (c *ClassResult) window(arrived time.Duration) *Window {
	i := int(arrived / windowTime)
	for len(c.Windows) <= i {
		c.Windows = append(c.Windows, Window{})
	}
	return &c.Windows[i]
}

// count notes a whole answer.
func (c *ClassResult) count(arrived time.Duration, late bool) {
	if late {
		c.Late++
		return
	}
	c.InTime++
	c.window(arrived).InTime++
}

// Class returns the result of a class, or nil.
func (r *Result) Class(name string) *ClassResult {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Share is the part of what the class could earn that it earned.
func (c *ClassResult) Share() float64 {
	if c.Asked == 0 || c.class.Worth == 0 {
		return 1
	}
	earned := float64(c.InTime)*c.class.Worth + float64(c.Late)*c.class.LateWorth
	return earned / (float64(c.Asked) * c.class.Worth)
}

// Share is the part of what all classes could earn that they earned.
func (r *Result) Share() float64 {
	var earned, owed float64
	for _, c := range r.Classes {
		owed += float64(c.Asked) * c.class.Worth
		earned += c.Share() * float64(c.Asked) * c.class.Worth
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

// PrintMean writes the mean of several results.
func PrintMean(w io.Writer, results []*Result) {
	shares := make([]float64, len(results[0].Classes))
	all, again := 0.0, 0.0
	n := float64(len(results))
	for _, r := range results {
		for i, c := range r.Classes {
			shares[i] += c.Share() / n
		}
		all += r.Share() / n
		again += float64(r.ReadAgain) / n
	}
	fmt.Fprintf(w, "mean of %d: share of all %.3f, read again %.0f;", len(results), all, again)
	for i, c := range results[0].Classes {
		fmt.Fprintf(w, " %s %.3f", c.Name, shares[i])
	}
	fmt.Fprintln(w)
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\tin time\tlate first\tlate pause\trefused\texpired\theld\tcrashed\tshare\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", c.Name, c.Asked, c.InTime, c.LateFirst, c.LatePause, c.Refused, c.Expired, c.Held, c.Crashed, c.Share())
	}
	_ = t.Flush()
	fmt.Fprintf(w, "in time of those that came in each %v\n", windowTime)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%12s", c.Name)
		for _, one := range c.Windows {
			fmt.Fprintf(w, " %.2f", float64(one.InTime)/float64(max(1, one.Asked)))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "share of all %.3f; %d tokens read, %d of them again, %d fetched; %.2f of the bytes of bodies to other zones; busiest engine %.2f\n",
		r.Share(), r.Read, r.ReadAgain, r.Fetched, float64(r.CrossZoneBytes)/float64(max(1, r.BodyBytes)), r.Busiest)
}
