package placement

// Names of the filters.
const (
	FilterPool       = "pool"
	FilterLeaving    = "leaving"
	FilterQuarantine = "quarantine"
	FilterAvoid      = "avoid"
	FilterFit        = "fit"
)

// filter is a named rule that excludes workers for a request.
type filter struct {
	name    string
	rejects func(w *Worker, r *Request) bool
}

// filters are applied in this order. Only the first filter that rejects a worker is reported.
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
