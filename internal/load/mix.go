package load

import "net/http"

// Kind distinguishes requests to a model from calls of a plain service.
type Kind string

const (
	// Chat requests stream an answer from a model.
	Chat Kind = "chat"
	// Call requests go to a plain service.
	Call Kind = "call"
)

const chatPath = "/v1/chat/completions"

// Range is an inclusive range of token counts.
type Range struct {
	Min int `yaml:"min" validate:"min=0"`
	Max int `yaml:"max" validate:"gtefield=Min"`
}

// Class describes one kind of request in a mix.
type Class struct {
	Name string `yaml:"name" validate:"required"`
	Kind Kind   `yaml:"kind" validate:"oneof=chat call"`
	// Weight is the relative share of the arrivals.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	Method string  `yaml:"method"`
	Path   string  `yaml:"path"`
	// Keyed sends an Idempotency-Key; the call must run at most once.
	Keyed bool `yaml:"keyed"`
	// Headers are added to each request.
	Headers map[string]string `yaml:"headers"`

	// Document is the length in tokens of the text that starts a session.
	Document Range `yaml:"document"`
	// Turn is the length in tokens of the text that each request adds.
	Turn Range `yaml:"turn"`
	// Output is the range of max_tokens.
	Output Range `yaml:"output"`
	// Sessions is the number of concurrent sessions per workspace; 0 starts a new
	// session with each request.
	Sessions int `yaml:"sessions" validate:"min=0"`
	// Revisions is the number of requests in a session. Each repeats the previous
	// requests and their answers.
	Revisions int `yaml:"revisions" validate:"min=0"`
}

// mixes holds the classes of each deployment's workload.
var mixes = map[string][]Class{
	"lanternfold": {
		{
			Name: "guide", Kind: Chat, Weight: 10, Path: chatPath,
			Document: Range{1500, 4000}, Turn: Range{50, 200}, Output: Range{200, 400}, Sessions: 6, Revisions: 3,
		},
		{
			Name: "question", Kind: Chat, Weight: 45, Path: chatPath,
			Document: Range{200, 600}, Turn: Range{10, 60}, Output: Range{20, 80}, Sessions: 20, Revisions: 4,
		},
		{Name: "lookup", Kind: Call, Weight: 30, Method: http.MethodGet, Path: "/meetwell/venues"},
		{Name: "booking", Kind: Call, Weight: 10, Method: http.MethodPost, Path: "/meetwell/bookings", Keyed: true},
		{Name: "reminder", Kind: Call, Weight: 5, Method: http.MethodPost, Path: "/meetwell/reminders", Keyed: true},
	},
	"matrizeria": {
		{
			Name: "revision", Kind: Chat, Weight: 20, Path: chatPath,
			Document: Range{3000, 6000}, Turn: Range{200, 600}, Output: Range{150, 400}, Sessions: 8, Revisions: 6,
		},
		{
			Name: "press", Kind: Chat, Weight: 40, Path: chatPath,
			Document: Range{100, 300}, Turn: Range{10, 40}, Output: Range{20, 60}, Sessions: 20, Revisions: 3,
		},
		{Name: "stock", Kind: Call, Weight: 30, Method: http.MethodGet, Path: "/orders/stock"},
		{Name: "order", Kind: Call, Weight: 10, Method: http.MethodPost, Path: "/orders/dies", Keyed: true},
	},
}
