package bvload

import "balsamvalve.example/bvclock"

// Member is one member of the consortium, with the classes of programs that it runs.
type Member struct {
	Name    string
	Key     string // API key of its callers
	Weight  int    // relative share of its programs; 0: 1
	Classes []Class
}

// Class describes one class of a member's programs.
type Class struct {
	Name            string // row of the operators' table; empty: the member's own row
	Weight          int    // relative share among the member's classes; 0: 1
	Model           string
	Topic           string // topic of its messages
	Turns           Range  // number of model calls
	PromptBytes     Range  // new text of a call
	OutputTokens    Range
	PauseMS         Range // pause before each model call but the first
	ToolPercent     int   // probability of a tool call between two model calls
	SubAgentPercent int   // probability of sub-agents between two model calls
	Tools           []Tool
}

// Tool is a call of a plain service.
type Tool struct {
	Service      string
	Path         string
	Unrepeatable bool
}

// Range is an inclusive range of uniformly drawn values.
type Range struct{ Min, Max int }

// Names of the members, classes, models and services of Members.
const (
	Piran          = "piran"
	Brindley       = "brindley"
	ClassBooking   = "booking"
	ClassQuoting   = "quoting"
	ClassAssistant = "assistant"
	ModelBooking   = "booking-model"
	ModelAgent     = "agent-model"
	ServiceBooking = "booking"
	ServiceStock   = "stock"
)

// Members returns both members with their usual programs: short chains that book surf
// lessons, short chains that quote bolts and anchors, and long conversations
// of an account assistant. Only members that have a key are returned.
func Members(keys map[string]string) []Member {
	var members []Member
	for _, member := range []Member{piran(), brindley()} {
		member.Key = keys[member.Name]
		if member.Key != "" {
			members = append(members, member)
		}
	}
	return members
}

func piran() Member {
	return Member{Name: Piran, Weight: 1, Classes: []Class{{
		Name:            ClassBooking,
		Model:           ModelBooking,
		Topic:           "surf lesson at Fiesa beach",
		Turns:           Range{3, 6},
		PromptBytes:     Range{80, 400},
		OutputTokens:    Range{10, 50},
		PauseMS:         Range{20, 120},
		ToolPercent:     60,
		SubAgentPercent: 15,
		Tools: []Tool{
			{Service: ServiceBooking, Path: "lessons", Unrepeatable: true},
			{Service: ServiceBooking, Path: "weather"},
			{Service: ServiceBooking, Path: "roster"},
		},
	}}}
}

func brindley() Member {
	tools := []Tool{
		{Service: ServiceStock, Path: "stock"},
		{Service: ServiceStock, Path: "price", Unrepeatable: true},
		{Service: ServiceStock, Path: "delivery"},
	}
	quoting := Class{
		Name:            ClassQuoting,
		Weight:          2,
		Model:           ModelAgent,
		Topic:           "bolt and anchor quote",
		Turns:           Range{2, 5},
		PromptBytes:     Range{80, 300},
		OutputTokens:    Range{10, 40},
		PauseMS:         Range{10, 60},
		ToolPercent:     70,
		SubAgentPercent: 15,
		Tools:           tools,
	}
	assistant := Class{
		Name:            ClassAssistant,
		Weight:          1,
		Model:           ModelAgent,
		Topic:           "buyer's account this week",
		Turns:           Range{6, 12},
		PromptBytes:     Range{300, 1500},
		OutputTokens:    Range{20, 60},
		PauseMS:         Range{50, 300},
		ToolPercent:     30,
		SubAgentPercent: 5,
		Tools:           tools,
	}
	return Member{Name: Brindley, Weight: 1, Classes: []Class{quoting, assistant}}
}

func pauseOf(milliseconds int, factor float64) bvclock.Duration {
	return bvclock.Duration(max(0, float64(milliseconds)*factor))
}
