package standins

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Operator calls the replicas of control as the users' pages say: it follows 307 twice, and moves on to another one
// after a failure, a 5xx, a 408 or 429, or a second without an answer.
type Operator struct {
	d      *Deployment
	client http.Client
}

// NewOperator returns an operator of the deployment.
func NewOperator(d *Deployment) *Operator {
	o := &Operator{d: d}
	o.client = http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return errors.New("more than two redirects")
			}
			return nil
		},
	}
	return o
}

// PutConfig sends a configuration until it gets a clear answer, and returns its status and when that came.
func (o *Operator) PutConfig(name string, document []byte, limit time.Duration) (int, time.Time, error) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		core := o.d.Cores[i%len(o.d.Cores)]
		request, err := http.NewRequest(http.MethodPut, "http://"+core.Control()+"/api/config", bytes.NewReader(document))
		if err != nil {
			return 0, time.Time{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		o.d.Record.Line("operator sends %s to %s", name, core.Name)
		response, err := o.client.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		status := response.StatusCode
		o.d.Record.Line("operator gets %d for %s: %.100s", status, name, bytes.TrimSpace(text))
		if status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, time.Time{}, fmt.Errorf("%s got no clear answer", name)
}
