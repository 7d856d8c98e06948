package members

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// pingTimeout bounds a ping and viaTimeout a request for an indirect one,
	// whose target has pingTimeout to answer. Later answers are of no use to the
	// table, which counts a member as silent after 600 ms.
	pingTimeout = 400 * time.Millisecond
	viaTimeout  = 600 * time.Millisecond
)

// Register adds the service Members to the peer listener.
func (m *Members) Register(mux drpc.Mux) error { return peerpb.DRPCRegisterMembers(mux, m) }

// Probe implements the service Members.
func (m *Members) Probe(ctx context.Context, in *peerpb.Ping) (ack *peerpb.Ack, err error) {
	messagesServed.Add(1)
	answers := make(chan *peerpb.Ack, 1)
	err = m.ask(ctx, func(now time.Time) {
		answer, actions := m.table.HandlePing(now, in)
		answers <- answer
		m.act(now, actions)
	})
	if err != nil {
		return nil, err
	}
	return <-answers, nil
}

// ProbeVia implements the service Members: it pings the target for the sender.
func (m *Members) ProbeVia(ctx context.Context, in *peerpb.PingVia) (*peerpb.Ack, error) {
	messagesServed.Add(1)
	pings := make(chan member.SendPing, 1)
	if err := m.ask(ctx, func(now time.Time) { pings <- m.table.RelayPing(now, in) }); err != nil {
		return nil, err
	}
	p := <-pings
	ack, err := m.ping(ctx, p.Address, p.Ping)
	if err != nil {
		return &peerpb.Ack{From: m.opts.Self.ID, Seq: in.Seq}, nil
	}
	m.answered(p.Ping.Seq, ack)
	return &peerpb.Ack{From: ack.From, Seq: in.Seq, Updates: ack.Updates, Reached: true}, nil
}

func (m *Members) answered(seq uint64, ack *peerpb.Ack) {
	_ = m.events.Offer(func(now time.Time) { m.act(now, m.table.HandleAck(now, seq, ack)) })
}

func (m *Members) ping(ctx context.Context, address string, ping *peerpb.Ping) (*peerpb.Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn := m.opts.Peers.Conn(ctx, address)
	defer conn.Close()
	messagesSent.Add(1)
	return peerpb.NewDRPCMembersClient(conn).Probe(ctx, ping)
}

// sender carries messages until their ring is closed and empty.
func (m *Members) sender() {
	for {
		s, err := m.sends.Get(context.Background())
		if err != nil {
			return
		}
		if s.ping != nil {
			if ack, err := m.ping(context.Background(), s.address, s.ping); err == nil {
				m.answered(s.ping.Seq, ack)
			} else {
				sendsFailed.Add(1)
			}
			continue
		}
		m.sendVia(s)
	}
}

func (m *Members) sendVia(s send) {
	ctx, cancel := context.WithTimeout(context.Background(), viaTimeout)
	defer cancel()
	conn := m.opts.Peers.Conn(ctx, s.address)
	defer conn.Close()
	messagesSent.Add(1)
	ack, err := peerpb.NewDRPCMembersClient(conn).ProbeVia(ctx, s.via)
	if err != nil {
		sendsFailed.Add(1)
		return
	}
	m.answered(s.via.Seq, ack)
}
