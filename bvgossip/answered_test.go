package bvgossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvclock"
)

// socket is a host that a test plays.
type socket struct {
	t *testing.T
	*net.UDPConn
}

func newSocket(t *testing.T) socket {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return socket{t, conn}
}

func (socket socket) address() netip.AddrPort { return socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// sendTwice sends a datagram twice, as a network may do.
func (socket socket) sendTwice(to netip.AddrPort, datagram *Datagram) {
	content, err := proto.Marshal(datagram)
	require.NoError(socket.t, err)
	for range 2 {
		_, err = socket.WriteToUDPAddrPort(content, to)
		require.NoError(socket.t, err)
	}
}

func (socket socket) receive() (*Datagram, netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	count, from, err := socket.ReadFromUDPAddrPort(buffer)
	require.NoError(socket.t, err)
	datagram := &Datagram{}
	require.NoError(socket.t, proto.Unmarshal(buffer[:count], datagram))
	return datagram, from
}

// Guards against a reply that arrives twice and counts as that of a host that did not reply: a
// stream's start would count as known to none.
func TestReplyThatArrivesTwiceCountsOnce(t *testing.T) {
	asker, replying, silent := newHost(t, "a", bvclock.Boot()), newSocket(t), newSocket(t)
	asker.SetHosts([]netip.AddrPort{replying.address(), silent.address()})
	go func() {
		datagram, from := replying.receive()
		counts := &Counts{Number: datagram.GetProbe().GetNumber(), Stream: &StreamFinding{}}
		replying.sendTwice(from, &Datagram{Message: &Datagram_Counts{Counts: counts}})
	}()
	replies, asked := asker.QueryStream(1, &StreamQuery{})
	require.Equal(t, 2, asked)
	require.Len(t, replies, 1)
}

// Guards against tokens that are lent, and lost, because a request arrives twice.
func TestAskThatArrivesTwiceLendsOnce(t *testing.T) {
	lender, borrower := newHost(t, "a", bvclock.Boot()), newSocket(t)
	lender.setLendable(100)
	borrower.sendTwice(lender.address, &Datagram{Message: &Datagram_Ask{Ask: &Ask{Number: 7, Program: "p", Tokens: 30}}})
	for range 2 {
		reply, _ := borrower.receive()
		require.EqualValues(t, 30, reply.GetLend().GetTokens())
	}
	lender.mutex.Lock()
	defer lender.mutex.Unlock()
	require.Equal(t, 70, lender.lendable)
}

// Guards against a usage cap that is charged twice because a claim arrives twice.
func TestClaimThatArrivesTwiceIsDecidedOnce(t *testing.T) {
	allocator, sender := newHost(t, "a", bvclock.Boot()), newSocket(t)
	allocator.mutex.Lock()
	allocator.granting = true
	allocator.mutex.Unlock()
	sender.sendTwice(allocator.address, &Datagram{Message: &Datagram_Probe{Probe: &Probe{Number: 7, Claim: &Claim{}}}})
	for range 2 {
		reply, _ := sender.receive()
		require.True(t, reply.GetCounts().GetClaimed().GetGranted())
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	require.Equal(t, 1, allocator.decided)
}

// Guards against an answer that is joined to a request without a number.
func TestRequestWithoutANumberIsRejected(t *testing.T) {
	lender, borrower := newHost(t, "a", bvclock.Boot()), newSocket(t)
	lender.setLendable(100)
	borrower.sendTwice(lender.address, &Datagram{Message: &Datagram_Ask{Ask: &Ask{Program: "p", Tokens: 30}}})
	require.Eventually(t, func() bool { return lender.Rejected() == 2 }, testTimeout, time.Millisecond)
	lender.mutex.Lock()
	defer lender.mutex.Unlock()
	require.Equal(t, 100, lender.lendable)
}
