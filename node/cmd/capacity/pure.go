package main

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/audit"
	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

func serverID(i int) string { return fmt.Sprintf("server-%04d", i) }

// measureRoutes measures routing decisions of policy/route and the choice of an instance's
// subset of servers.
func measureRoutes(f *Figures, quick bool) error {
	picks := 200_000
	if quick {
		picks = 20_000
	}
	for _, n := range []int{10, 100, 740} {
		t := route.NewTable(route.Options{DataCentre: "dc-1"})
		var ids []string
		for i := range n {
			t.Upsert(route.Server{ID: serverID(i), DataCentre: fmt.Sprintf("dc-%d", i%5), Model: "m", Version: "1", Role: route.RoleBoth, Slots: 64})
			t.LoadReported(serverID(i), route.LoadReport{Running: i % 40, MaxSlots: 64, PrefillRate: 8000, DecodeRate: 60})
			ids = append(ids, serverID(i))
		}
		req := &route.Request{Model: "m", PromptTokens: 400, OutputTokens: 250}
		rng, now := rand.New(rand.NewPCG(1, 1)), time.Now()
		row := RouteRow{Servers: n}
		row.Pick = cpuSeconds(func() {
			for range picks {
				t.Pick(now, req, rng)
			}
		}) / float64(picks)
		row.Cycle = cpuSeconds(func() {
			for range picks {
				c, _ := t.Pick(now, req, rng)
				fl := t.Dispatched(now, c, req)
				t.FirstToken(now.Add(100*time.Millisecond), &fl)
				t.Finished(now.Add(time.Second), &fl, 250)
			}
		}) / float64(picks)
		var members []route.Member
		for i := range targetSize.Instances {
			members = append(members, route.Member{ID: fmt.Sprintf("instance-%03d", i), Weight: 100})
		}
		const subsets = 20
		row.Subset = cpuSeconds(func() {
			for range subsets {
				route.Subset("instance-007", members, ids, subsetPerServer, subsetMinServers)
			}
		}) / subsets
		f.Routes = append(f.Routes, row)
	}
	return nil
}

// sizeDocument returns a configuration document with a number of workspaces and the models
// of docs/design.md 1.6.
func sizeDocument(workspaces int) string {
	var b strings.Builder
	b.WriteString("[fleet]\nowner = \"platform\"\nformat = 1\npartitions = 64\n\n")
	for s := range 4 {
		fmt.Fprintf(&b, "[services.s%d]\nowner = \"ops\"\nkind = \"model\"\n\n", s)
	}
	for m := range targetSize.Models {
		fmt.Fprintf(&b, "[models.m%d]\nowner = \"models\"\nservice = \"s%d\"\nversion = \"1\"\nweights_mib = 14336\n\n", m, m%4)
	}
	for s := range 4 {
		var shares []string
		for m := s; m < targetSize.Models; m += 4 {
			shares = append(shares, fmt.Sprintf("m%d = 0.5", m))
		}
		if len(shares) == 1 {
			shares[0] = strings.Replace(shares[0], "0.5", "1.0", 1)
		}
		fmt.Fprintf(&b, "[capacity.s%d]\nowner = \"capacity\"\nservice = \"s%d\"\nserver_shares = { %s }\n\n", s, s, strings.Join(shares, ", "))
	}
	for w := range workspaces {
		b.WriteString(workspaceSection(w, 100))
	}
	return b.String()
}

func workspaceSection(w, weight int) string {
	return fmt.Sprintf("[workspaces.workspace-%03d]\nowner = \"team-%02d\"\nteam = \"Team %02d\"\nkey_hashes = [\"%x\"]\nweight = %d\nservices = [\"s%d\"]\n\n",
		w, w%40, w%40, sha256.Sum256([]byte{byte(w), byte(w >> 8)}), weight, w%4)
}

func measureDocuments(f *Figures, quick bool) error {
	rounds := 20
	if quick {
		rounds = 3
	}
	for _, n := range []int{10, 100, targetSize.Workspaces} {
		text := sizeDocument(n)
		entries, err := config.ImportEntries(text, "a", "import", 1)
		if err != nil {
			return err
		}
		payload, err := record.Encode(&recordpb.Batch{Instance: "a", Entries: entries})
		if err != nil {
			return err
		}
		row := DocumentRow{Workspaces: n, Bytes: float64(len(text)), Folded: float64(len(payload))}
		row.Parse = cpuSeconds(func() {
			for range rounds {
				if _, _, e := config.Parse(text); e != nil {
					err = e
				}
			}
		}) / float64(rounds)
		if err != nil {
			return err
		}
		row.Mem = retainedBytes(func() any {
			v := config.NewReplica()
			v.SetLogStartOffset(0)
			v.Apply(0, "a", entries)
			_, err = v.Document()
			return v
		})
		if err != nil {
			return err
		}
		h := config.NewReplica()
		h.SetLogStartOffset(0)
		h.Apply(0, "a", entries)
		edits := make([][]*recordpb.Entry, rounds)
		base := h.HeadRevision()
		for i := range edits {
			name := fmt.Sprintf("workspaces.workspace-%03d", 1)
			content := workspaceSection(1, 200+i)
			edits[i] = []*recordpb.Entry{{AtMs: 1, Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: &recordpb.ConfigRevision{
				Section: name, Content: strings.TrimRight(content, "\n"), BaseRevision: base, EditId: fmt.Sprint("edit-", i), Actor: "operator"}}}}
			base = int64(i + 2)
		}
		refused := 0
		row.Apply = cpuSeconds(func() {
			for i, e := range edits {
				for _, d := range h.Apply(int64(i+1), "a", e) {
					if d.Verdict != config.Accepted {
						refused++
					}
				}
				_, _ = h.Document()
			}
		}) / float64(rounds)
		if refused > 0 {
			return fmt.Errorf("%d of %d edits were refused", refused, rounds)
		}
		if payload, err = record.Encode(&recordpb.Batch{Instance: "a", Entries: edits[0]}); err != nil {
			return err
		}
		row.EditBytes = float64(len(payload))
		f.Documents = append(f.Documents, row)
	}
	return nil
}

func measurePlans(f *Figures, quick bool) error {
	rounds := 50
	if quick {
		rounds = 5
	}
	doc, _, err := config.Parse(sizeDocument(10))
	if err != nil {
		return err
	}
	for _, n := range []int{10, 100, 740} {
		now := time.Unix(1_700_000_000, 0)
		p := placement.New(placement.DefaultSettings(), "s0", 1, now)
		p.SetDocument(doc)
		var list []placement.Server
		for i := range n {
			list = append(list, placement.Server{ID: serverID(i)})
		}
		p.SetServers(list)
		p.ConfirmOwnership(now)
		state := func(i int) placement.EngineState {
			return placement.EngineState{Model: fmt.Sprintf("m%d", 4*(i%2)), Version: "1", Role: placement.RoleBoth}
		}
		row := PlanRow{Servers: n}
		spent := 0.0
		for range rounds {
			for i := range n {
				p.HandleState(serverID(i), now, state(i))
			}
			now = now.Add(time.Second)
			p.ConfirmOwnership(now)
			spent += cpuSeconds(func() { p.Plan(now) })
		}
		row.Plan = spent / float64(rounds)
		row.Memory = retainedBytes(func() any { v := p; p = nil; return v })
		f.Plans = append(f.Plans, row)
	}
	return nil
}

func measureAudit(f *Figures, _ bool) error {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{1, 10, 100, 1000} {
		b := audit.New(audit.DefaultConfig(), "instance-001", 1, now)
		row := AuditRow{Entries: n}
		var err error
		row.CPU = cpuSeconds(func() {
			for i := range n {
				b.Add(now, &recordpb.Audit{Kind: "config", Cause: "edit", Actor: "operator@example.org", Service: "s1",
					Before: fmt.Sprintf("revision %d: weight = %d", i, 100+i), After: fmt.Sprintf("revision %d: weight = %d", i+1, 101+i)})
			}
			for at := now; b.Len() > 0; at = at.Add(3 * time.Minute) {
				if batch := b.NextBatch(at); batch != nil {
					var payload []byte
					if payload, err = record.Encode(proto.CloneOf(batch)); err != nil {
						return
					}
					row.Bytes += float64(len(payload)) / float64(n)
					row.Appends += 1 / float64(n)
					b.BatchAppended()
				}
			}
		}) / float64(n)
		if err != nil {
			return err
		}
		f.Audit = append(f.Audit, row)
	}
	return nil
}
