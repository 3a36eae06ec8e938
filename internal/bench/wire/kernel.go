package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// kernelTraffic reads what the kernel counted for a TCP connection: payload and
// segments, pure acknowledgements included. It is zero for a connection that is
// closed or not TCP.
func kernelTraffic(connection net.Conn) Traffic {
	plain, ok := connection.(*net.TCPConn)
	if !ok {
		return Traffic{}
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return Traffic{}
	}
	var traffic Traffic
	// Control fails only where the connection is closed; it has no count then.
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
