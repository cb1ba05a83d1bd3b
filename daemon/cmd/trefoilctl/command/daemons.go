package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

const (
	// daemonTimeout bounds one call to a daemon.
	daemonTimeout = 5 * time.Second
	// maxAnswerBytes bounds the body of a daemon's answer.
	maxAnswerBytes = 64 << 20
)

// daemonClient is a client of the daemons' operators' listeners.
type daemonClient struct {
	scheme string
	token  string
	http   *http.Client
}

// reply is the outcome of a call to one daemon: the body of its answer, or an error.
type reply struct {
	address string
	body    []byte
	err     error
}

// newDaemonClient returns a client of the daemons in the global options.
func (s *session) newDaemonClient() (*daemonClient, error) {
	if len(s.Operators) == 0 {
		return nil, errors.Mark(errors.New("no daemon: give --operator, TREFOILCTL_OPERATORS or operators in the settings file"), errUsage)
	}
	tlsConfig, err := s.tlsFiles().Client()
	if err != nil {
		return nil, err
	}
	d := &daemonClient{scheme: "http", token: s.OperatorToken, http: &http.Client{Transport: objectstore.NewTransport(tlsConfig)}}
	if s.OperatorTLS {
		d.scheme = "https"
	}
	return d, nil
}

// callAll makes the same call to all daemons concurrently and returns the replies
// in the order of the addresses.
func (d *daemonClient) callAll(ctx context.Context, addresses []string, method, path string, body []byte) []reply {
	replies := make([]reply, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			answer, err := d.call(ctx, method, address, path, body)
			replies[i] = reply{address: address, body: answer, err: err}
		})
	}
	calls.Wait()
	return replies
}

// call makes one call to the daemon at address and returns the body of its answer. A
// status other than 200 is an error.
func (d *daemonClient) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, d.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+d.token)
	response, err := d.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call daemon")
	}
	defer response.Body.Close()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// Daemons always tell the length or send chunks.
		return nil, errors.New("daemon's answer has neither a length nor chunks, so it may be cut")
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read daemon's answer")
	}
	if len(answer) > maxAnswerBytes {
		return nil, errors.Newf("daemon's answer is longer than %d bytes", maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode, answer)
	}
	return answer, nil
}

// statusError returns the error of an answer with a status other than 200.
func statusError(status int, answer []byte) error {
	var failure operator.ErrorResponse
	if json.Unmarshal(answer, &failure) != nil || failure.Error == "" {
		failure.Error = http.StatusText(status)
	}
	return errors.Newf("status %d: %s", status, failure.Error)
}
