package members

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// pingTimeout limits a ping. pingViaTimeout limits a request for an indirect ping,
	// whose target has pingTimeout to answer. Later answers are useless, because the
	// table treats a member as unresponsive after 600 ms.
	pingTimeout    = 400 * time.Millisecond
	pingViaTimeout = 600 * time.Millisecond
)

// Register registers the service Members on the mux of the peer listener.
func (m *Members) Register(mux drpc.Mux) error { return peerpb.DRPCRegisterMembers(mux, m) }

// Probe implements the service Members.
func (m *Members) Probe(ctx context.Context, in *peerpb.Ping) (ack *peerpb.Ack, err error) {
	messagesServed.Add(1)
	answers := make(chan *peerpb.Ack, 1)
	err = m.do(ctx, func(now time.Time) {
		answer, actions := m.table.HandlePing(now, in)
		answers <- answer
		m.execute(now, actions)
	})
	if err != nil {
		return nil, err
	}
	return <-answers, nil
}

// ProbeVia implements the service Members: it pings the target on behalf of the
// requesting member.
func (m *Members) ProbeVia(ctx context.Context, in *peerpb.PingVia) (*peerpb.Ack, error) {
	messagesServed.Add(1)
	pings := make(chan member.SendPing, 1)
	if err := m.do(ctx, func(now time.Time) { pings <- m.table.RelayPing(now, in) }); err != nil {
		return nil, err
	}
	p := <-pings
	ack, err := m.ping(ctx, p.Address, p.Ping)
	if err != nil {
		return &peerpb.Ack{From: m.opts.Self.ID, Seq: in.Seq}, nil
	}
	m.handleAck(p.Ping.Seq, ack)
	return &peerpb.Ack{From: ack.From, Seq: in.Seq, Updates: ack.Updates, Reached: true}, nil
}

func (m *Members) handleAck(seq uint64, ack *peerpb.Ack) {
	_ = m.events.Offer(func(now time.Time) { m.execute(now, m.table.HandleAck(now, seq, ack)) })
}

func (m *Members) ping(ctx context.Context, address string, ping *peerpb.Ping) (*peerpb.Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn := m.opts.Peers.Conn(ctx, address)
	defer conn.Close()
	messagesSent.Add(1)
	return peerpb.NewDRPCMembersClient(conn).Probe(ctx, ping)
}

// sendMessages sends queued messages until the queue is closed and empty.
func (m *Members) sendMessages() {
	for {
		msg, err := m.outgoing.Get(context.Background())
		if err != nil {
			return
		}
		if msg.ping != nil {
			if ack, err := m.ping(context.Background(), msg.address, msg.ping); err == nil {
				m.handleAck(msg.ping.Seq, ack)
			} else {
				sendsFailed.Add(1)
			}
			continue
		}
		m.sendPingVia(msg)
	}
}

func (m *Members) sendPingVia(msg outgoingMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), pingViaTimeout)
	defer cancel()
	conn := m.opts.Peers.Conn(ctx, msg.address)
	defer conn.Close()
	messagesSent.Add(1)
	ack, err := peerpb.NewDRPCMembersClient(conn).ProbeVia(ctx, msg.via)
	if err != nil {
		sendsFailed.Add(1)
		return
	}
	m.handleAck(msg.via.Seq, ack)
}
