package httphead

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a transport whose connections over TLS are not checked, or are checked ahead of it.
func TestCheckTransport(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/sound" {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n")
	})
	for name, server := range map[string]*httptest.Server{"plain": httptest.NewServer(handler), "TLS": httptest.NewTLSServer(handler)} {
		t.Run(name, func(t *testing.T) {
			t.Cleanup(server.Close)
			transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
			if cert := server.Certificate(); cert != nil {
				transport.TLSClientConfig = &tls.Config{RootCAs: x509.NewCertPool()}
				transport.TLSClientConfig.RootCAs.AddCert(cert)
			}
			CheckTransport(transport)
			t.Cleanup(transport.CloseIdleConnections)
			client := &http.Client{Transport: transport}
			for range 2 {
				resp, err := client.Get(server.URL + "/sound")
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
			}
			if resp, err := client.Get(server.URL + "/malformed"); err == nil {
				t.Errorf("answered %s", resp.Status)
			}
		})
	}
}
