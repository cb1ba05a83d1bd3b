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
	// maxAnswerBytes bounds a daemon's answer.
	maxAnswerBytes = 64 << 20
)

// daemons reaches the operators' listeners of daemons.
type daemons struct {
	scheme string
	token  string
	http   *http.Client
}

// reply is one daemon's answer.
type reply struct {
	address string
	body    []byte
	err     error
}

func (s *session) daemons() (*daemons, error) {
	if len(s.Operators) == 0 {
		return nil, errors.Mark(errors.New("no daemon: give --operator, TREFOILCTL_OPERATORS or operators in the settings file"), errUsage)
	}
	settings, err := s.tlsFiles().Client()
	if err != nil {
		return nil, err
	}
	d := &daemons{scheme: "http", token: s.OperatorToken, http: &http.Client{Transport: objectstore.NewTransport(settings)}}
	if s.OperatorTLS {
		d.scheme = "https"
	}
	return d, nil
}

// ask makes the same call to every daemon at once and returns the answers in
// the order of the addresses.
func (d *daemons) ask(ctx context.Context, addresses []string, method, path string, body []byte) []reply {
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

func (d *daemons) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, d.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+d.token)
	response, err := d.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "reach daemon")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(response.StatusCode, answer)
	}
	return answer, nil
}

// refusal turns a daemon's answer other than 200.
func refusal(status int, answer []byte) error {
	var failure operator.Failure
	if json.Unmarshal(answer, &failure) != nil || failure.Error == "" {
		failure.Error = http.StatusText(status)
	}
	return errors.Newf("status %d: %s", status, failure.Error)
}
