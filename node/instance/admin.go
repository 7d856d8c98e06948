package instance

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
)

// listTimeout limits one read of the platform's list.
const listTimeout = 2 * time.Second

// ServerInfo is one backend server as this instance sees it.
type ServerInfo struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Model      string `json:"model,omitempty"`
	// State is available, unavailable, leaving or unused.
	State string `json:"state"`
	// Running, Waiting and Slots are from the server's last load report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// InFlight is the number of this instance's online requests on the server.
	InFlight int `json:"in_flight"`
	// Director is the instance that directs the server's batch work.
	Director string `json:"director,omitempty"`
}

// MemberInfo is one instance as this instance sees it.
type MemberInfo struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Weight     uint32 `json:"weight"`
	Status     string `json:"status"`
	Leaving    bool   `json:"leaving"`
	// Partitions is the number of partitions of which the instance is the preferred owner.
	Partitions int `json:"partitions"`
}

// Overview describes an instance and the members that it knows.
type Overview struct {
	Instance string       `json:"instance"`
	Ready    bool         `json:"ready"`
	Reason   string       `json:"reason,omitempty"`
	Draining bool         `json:"draining"`
	Revision int64        `json:"revision"`
	Owned    []int        `json:"owned_partitions"`
	Members  []MemberInfo `json:"members"`
}

func (i *Instance) routes(s *operator.Server) {
	s.HandleAdmin(http.MethodGet, "servers", i.listServers)
	s.HandleAdmin(http.MethodGet, "members", i.listMembers)
}

func (i *Instance) listServers(ctx context.Context, r operator.Request) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := i.directory.List(ctx)
	if err != nil {
		return nil, api.Unavailable(api.CodeNoServer, time.Second, "the platform's list does not answer: %v", err)
	}
	out := []ServerInfo{}
	for _, e := range listing.Servers {
		if want := r.Query["service"]; want != "" && want != e.Service {
			continue
		}
		info := ServerInfo{ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, State: "unused"}
		i.describe(&info, e.Leaving || i.members.ServerLeaving(e.ID))
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b ServerInfo) int { return strings.Compare(a.Service+"/"+a.ID, b.Service+"/"+b.ID) })
	return map[string]any{"servers": out}, nil
}

// describe sets the fields of info that do not come from the platform's list.
func (i *Instance) describe(info *ServerInfo, leaving bool) {
	if doc := i.follower.Document(); doc != nil && doc.Services[info.Service] != nil {
		info.Kind = doc.Services[info.Service].Kind
	}
	if info.Kind == string(api.ServiceModel) {
		info.Director, _, _ = i.members.DirectorOf(info.ID)
	}
	s := i.activeService.Load()
	if s == nil {
		return
	}
	if g := s.pool.Group(info.Service); g != nil && s.pool.Server(info.ID) != nil {
		load, inFlight := g.Load(info.ID)
		info.Model, info.InFlight = g.Model(info.ID), inFlight
		info.Running, info.Waiting, info.Slots = load.Running, load.Waiting, load.MaxSlots
		info.State = "unavailable"
		if g.Available(info.ID) {
			info.State = "available"
		}
	}
	if leaving {
		info.State = "leaving"
	}
}

func (i *Instance) listMembers(context.Context, operator.Request) (any, error) {
	out := Overview{Instance: i.settings.Instance, Draining: i.Draining(), Owned: []int{}, Members: []MemberInfo{}}
	out.Ready, out.Reason = i.Ready()
	if doc := i.follower.Document(); doc != nil {
		out.Revision = doc.Revision
	}
	if s := i.activeService.Load(); s != nil {
		out.Owned = append(out.Owned, s.owner.Owned()...)
	}
	preferred := map[string]int{}
	for p := range int(i.settings.Partitions) {
		name, _ := i.members.Preferred(p)
		preferred[name]++
	}
	for _, m := range i.members.Live() {
		out.Members = append(out.Members, MemberInfo{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Weight: m.Weight,
			Status: m.Status.String(), Leaving: m.Leaving, Partitions: preferred[m.ID]})
	}
	return out, nil
}
