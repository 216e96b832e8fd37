package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// drainingListener is a listener that, when it is closed, first accepts the connections that
// the kernel has already made. Otherwise the kernel would reset them, and the callers could not
// tell whether their requests ran.
type drainingListener struct {
	*net.TCPListener
	// mu is held while the listener is being closed.
	mu sync.Mutex
	// accepted contains the connections that were accepted when it was closed.
	accepted []net.Conn
}

// Accept implements net.Listener. After Close it returns the remaining connections.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.accepted) == 0 {
		return nil, err
	}
	conn, l.accepted = l.accepted[0], l.accepted[1:]
	return conn, nil
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	fds, drainErr := l.acceptAll()
	err := l.TCPListener.Close()
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "accepted")
		conn, connErr := net.FileConn(file)
		// FileConn has duplicated the descriptor.
		if err := errors.Join(connErr, file.Close()); err != nil {
			drainErr = errors.Join(drainErr, err)
			continue
		}
		l.accepted = append(l.accepted, conn)
	}
	return errors.Join(err, drainErr)
}

// pending returns the number of accepted connections that Accept has not returned yet.
func (l *drainingListener) pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

// acceptAll accepts all connections that the kernel has made, without waiting for others.
func (l *drainingListener) acceptAll() (fds []int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(listener uintptr) {
		for {
			// The listener does not block, so it fails if no connection is left.
			fd, _, err := syscall.Accept(int(listener))
			if err != nil {
				return
			}
			syscall.CloseOnExec(fd)
			fds = append(fds, fd)
		}
	})
	return fds, err
}
