package placement

// Names of the filters.
const (
	FilterPool       = "pool"
	FilterLeaving    = "leaving"
	FilterQuarantine = "quarantine"
	FilterAvoid      = "avoid"
	FilterFit        = "fit"
)

// filter is a rule that keeps a request from a worker.
type filter struct {
	name    string
	rejects func(w *Worker, r *Request) bool
}

// filters are applied in order; the first that rejects a worker is the one that is reported.
var filters = [...]filter{
	{FilterPool, rejectPool},
	{FilterLeaving, rejectLeaving},
	{FilterQuarantine, rejectQuarantine},
	{FilterAvoid, rejectAvoid},
	{FilterFit, rejectFit},
}

// rejectedBy returns the name of the first filter that rejects w, or "".
func rejectedBy(w *Worker, r *Request) string {
	for i := range filters {
		if filters[i].rejects(w, r) {
			return filters[i].name
		}
	}
	return ""
}
