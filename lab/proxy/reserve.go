package proxy

import (
	"net"
	"syscall"
	"time"
)

// reservation keeps a port of the loopback interface from other processes without listening on it, so
// that connections to it are refused. The zero value reserves nothing.
type reservation struct {
	// socket is bound to the port; nil if there is none.
	socket *int
}

const (
	// reserveTries limits the tries to reserve a port, and reservePause is the time between two: a
	// connection that was just reset keeps the port for a moment.
	reserveTries = 20
	reservePause = 500 * time.Microsecond
)

// take reserves the port of a loopback address. Nothing is reserved if another process already has it,
// or a closed connection still keeps it.
func (r *reservation) take(address string) {
	r.release()
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return
	}
	// Without SO_REUSEADDR no listener can share the port.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	for range reserveTries {
		if err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}); err == nil {
			r.socket = &socket
			return
		}
		time.Sleep(reservePause)
	}
	_ = syscall.Close(socket)
}

// release gives the port back.
func (r *reservation) release() {
	if r.socket != nil {
		_ = syscall.Close(*r.socket)
		r.socket = nil
	}
}
