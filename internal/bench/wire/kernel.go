package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// kernelTraffic returns the traffic of a TCP connection, headers and pure
// acknowledgements included, from the counters of the kernel. It is zero for a
// connection that is closed or not TCP.
func kernelTraffic(connection net.Conn) Traffic {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return Traffic{}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Traffic{}
	}
	var traffic Traffic
	// Control fails only if the connection is closed, which has no counters.
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		traffic = Traffic{
			Sent:     int64(info.Bytes_sent) + int64(info.Segs_out)*packetHeader,
			Received: int64(info.Bytes_received) + int64(info.Segs_in)*packetHeader,
		}
	})
	return traffic
}
