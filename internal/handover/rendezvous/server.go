package rendezvous

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// maxLinks bounds the processes that are connected at a time.
	maxLinks = 16
	// acceptRetryDelay is how long the server waits after an Accept that failed, such as for want of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// maxNumberLength is the length of the number in the names of a process's files.
	maxNumberLength = 32
)

// Server is the socket of this process, on which others say hello.
type Server struct {
	folder   *Folder
	name     string // of its files, without their endings
	listener *net.UnixListener
	serving  sync.WaitGroup

	mu     sync.Mutex
	links  map[*Link]struct{} // that are served
	closed bool
}

// Listen opens this process's socket, and calls accepted with each process that connects. Nobody finds it before
// Announce.
func (f *Folder) Listen(accepted func(*Link)) error {
	name := fmt.Sprintf("%s%x-%d", f.prefix(), time.Now().UnixMicro(), os.Getpid())
	address := f.socketAddress(name + socketSuffix)
	listener, err := net.ListenUnix(network, address)
	if err != nil {
		return &FileError{Path: filepath.Join(f.path, name+socketSuffix), Err: err}
	}
	listener.SetUnlinkOnClose(false) // close removes it by its own path
	server := &Server{folder: f, name: name, listener: listener, links: map[*Link]struct{}{}}
	if err := os.Chmod(address.Name, fileMode); err != nil {
		server.close()
		return &FileError{Path: address.Name, Err: err}
	}
	f.server = server
	server.serving.Go(func() { server.serve(accepted) })
	return nil
}

// Announce lets other processes find this one, before all that were announced until now.
func (f *Folder) Announce() error {
	if f.server == nil {
		return nil
	}
	one := announcement{
		Format:      fileFormat,
		Version:     Version,
		Process:     os.Getpid(),
		Listen:      f.listen,
		Socket:      f.server.name + socketSuffix,
		AnnouncedAt: time.Now().UnixMicro(),
	}
	if err := one.write(f.server.filePath()); err != nil {
		return &FileError{Path: f.server.filePath(), Err: err}
	}
	return nil
}

func (s *Server) filePath() string { return filepath.Join(s.folder.path, s.name+fileSuffix) }

// serve accepts processes until the socket is closed.
func (s *Server) serve(accepted func(*Link)) {
	slots := make(chan struct{}, maxLinks)
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		link, err := newLink(conn)
		if err != nil {
			s.folder.log.Warn().Err(err).Msg("process not accepted for a handover")
			_ = conn.Close() // it is refused
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			link.Close()
			continue
		}
		if !s.register(link) {
			return
		}
		s.serving.Go(func() {
			defer func() { <-slots }()
			defer s.unregister(link)
			accepted(link)
		})
	}
}

// register notes a link that is served, and reports whether the server is still open.
func (s *Server) register(link *Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		link.Close()
		return false
	}
	s.links[link] = struct{}{}
	return true
}

func (s *Server) unregister(link *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	link.Close()
	delete(s.links, link)
}

// close removes the process's files, closes its socket and all links, and waits until nobody serves one.
func (s *Server) close() {
	_ = os.Remove(s.filePath()) // it may not have been announced
	_ = os.Remove(filepath.Join(s.folder.path, s.name+socketSuffix))
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for link := range s.links {
		link.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}
