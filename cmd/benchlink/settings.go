package main

import (
	"time"

	"brassdale/brain"
)

// micros is a time or a span on the wire.
type micros int64

func (m micros) span() time.Duration { return time.Duration(m) * time.Microsecond }

// params are the settings on the wire; unknown keys are skipped.
type params struct {
	Classes []struct {
		Aim        micros
		Credit     float64
		Deadline   micros
		DedupScope string
		Effect     string
		LateWorth  float64
		Stream     bool
		Window     micros
		AimStretch float64
	}
	CountedBy  string
	Discovery  string
	FamilyInfo struct {
		ClassKind    []int
		ClassStretch []float64
		Progress     micros
		TellsStart   bool
	}
	Limits struct {
		Cancel        bool
		MaxAttempts   int
		MaxRetryAfter micros
		MayDuplicate  bool
		Probing       bool
		RetryAfter    bool
	}
	LoadReport struct {
		Columns []string
		Via     string
	}
	Locality     int
	Ordinal      int
	Prices       struct{ CrossZone float64 }
	ReplicasOfMe int
	Rules        struct {
		AnswerSlack   micros
		AskWithin     micros
		Cold          micros
		Fall          micros
		StartCapacity float64
		TipMultiple   float64
	}
}

func (p *params) settings() brain.Settings {
	s := brain.Settings{
		Me: p.Ordinal, Dispatchers: p.ReplicasOfMe, Zone: p.Locality,
		Ask:           p.Discovery == "ask",
		ReportsPulled: p.LoadReport.Via == "pull",
		TellsStart:    p.FamilyInfo.TellsStart,
		Progress:      p.FamilyInfo.Progress.span(),
		MayProbe:      p.Limits.Probing,
		MayCancel:     p.Limits.Cancel,
		MayCopy:       p.Limits.MayDuplicate,
		AdviseRetry:   p.Limits.RetryAfter,
		MaxAttempts:   p.Limits.MaxAttempts,
		MaxRetryAfter: p.Limits.MaxRetryAfter.span(),
		AnswerSlack:   p.Rules.AnswerSlack.span(),
		AskWithin:     p.Rules.AskWithin.span(),
		Cold:          p.Rules.Cold.span(),
		StartCapacity: p.Rules.StartCapacity,
		TipMultiple:   p.Rules.TipMultiple,
		Fall:          p.Rules.Fall.span(),

		CrossZonePrice: p.Prices.CrossZone,
		WorthByWork:    p.CountedBy == "work",
	}
	for i, c := range p.Classes {
		class := brain.Class{
			Aim: c.Aim.span(), Stretch: c.AimStretch, Deadline: c.Deadline.span(),
			Worth: c.Credit, LateWorth: c.LateWorth, Window: c.Window.span(), Streamed: c.Stream,
			Effect: brain.Unsafe, Scope: brain.ScopeAll, Kind: -1,
		}
		switch c.Effect {
		case "safe":
			class.Effect = brain.Safe
		case "keyed":
			class.Effect = brain.Keyed
		}
		switch c.DedupScope {
		case "zone":
			class.Scope = brain.ScopeZone
		case "cell":
			class.Scope = brain.ScopeCell
		}
		if i < len(p.FamilyInfo.ClassKind) {
			class.Kind = p.FamilyInfo.ClassKind[i]
		}
		if i < len(p.FamilyInfo.ClassStretch) {
			class.Stretch = p.FamilyInfo.ClassStretch[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// report names the values of a load report by the columns of the settings.
func (p *params) report(row []float64) *brain.Report {
	if row == nil {
		return nil
	}
	r := &brain.Report{Busy: -1, Requests: -1, FreeSlots: -1}
	for i, name := range p.LoadReport.Columns {
		if i >= len(row) {
			break
		}
		switch name {
		case "cpu_share":
			r.Busy = row[i]
		case "busy_reqs":
			r.Requests = row[i]
		case "x0":
			r.FreeSlots = row[i]
		}
	}
	return r
}
