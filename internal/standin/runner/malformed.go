package runner

import (
	"io"
	"net/http"
	"strings"
)

// malformedHead is the header of a success with a body of 5 bytes; its end is missing.
const malformedHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\nContent-Length: 5\r\n"

// malformedResponses are the responses that the protocol does not allow; ID stands for that of the
// request.
var malformedResponses = map[Fault]string{
	MalformedStatus:  strings.Replace(malformedHead, "200", "000", 1) + "\r\nhello",
	MalformedName:    malformedHead + "Further : x\r\n\r\nhello",
	MalformedLength:  strings.Replace(malformedHead, "Length:", "Length :", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n",
	MalformedInterim: "HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\n" + malformedHead + "\r\nhello",
	MalformedTrailer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\nBad Name: x\r\n\r\n",
	MalformedRefusal: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nFurther : x\r\nContent-Length: 0\r\n\r\n",
}

// sendMalformed sends a response that the protocol does not allow, if the fault is one, and reports
// whether it is.
func sendMalformed(w http.ResponseWriter, req *http.Request, f Fault) bool {
	text, ok := malformedResponses[f]
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", req.Header.Get("Request-Id")))
	return true
}
