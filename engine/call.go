package engine

import (
	"context"

	"github.com/valyala/fasthttp"
)

// Answer is a complete HTTP answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Date": true, "Server": true, "Upgrade": true, "Trailer": true, "Te": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// IsHopByHopHeader reports whether a header, in canonical form, belongs to one
// connection only.
func IsHopByHopHeader(name string) bool {
	return hopHeaders[name]
}

// Call makes one call and reads the whole answer, whatever its status is. The
// context bounds the whole call. Only a 503 with the not-run header is reported
// as a failure.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	e, failure := c.open(ctx, r)
	if failure != nil {
		return Answer{}, failure
	}
	defer e.close()
	body, failure := e.read()
	if failure != nil {
		return Answer{}, failure
	}
	answer := Answer{Status: e.response.StatusCode(), Headers: passedHeaders(e.response), Body: body}
	if answer.Status == fasthttp.StatusServiceUnavailable && saysNotRun(e.response) {
		return answer, &Failure{Kind: Refused, Address: r.Address, Status: answer.Status, Body: body, NotRun: true}
	}
	return answer, nil
}

func saysNotRun(r *fasthttp.Response) bool {
	return string(r.Header.Peek(HeaderNotRun)) == "true"
}

func passedHeaders(r *fasthttp.Response) []Header {
	var headers []Header
	for name, value := range r.Header.All() {
		if !IsHopByHopHeader(string(name)) {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
