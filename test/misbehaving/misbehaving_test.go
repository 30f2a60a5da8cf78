package misbehaving

import "testing"

// Each test is one kind of client at one door, so that KNOWN-RED.txt can name it.

func TestBodiesInOnePieceAtRoute(t *testing.T)     { play(t, crowd{bodiesInOnePiece, route}) }
func TestBodiesInOnePieceAtNoRoute(t *testing.T)   { play(t, crowd{bodiesInOnePiece, noRoute}) }
func TestBodiesInOnePieceAtReadiness(t *testing.T) { play(t, crowd{bodiesInOnePiece, readiness}) }
func TestBodiesInOnePieceAtMetrics(t *testing.T)   { play(t, crowd{bodiesInOnePiece, metrics}) }
func TestBodiesInOnePieceAtPeers(t *testing.T)     { play(t, crowd{bodiesInOnePiece, peers}) }

func TestBodiesInSmallPiecesAtRoute(t *testing.T)   { play(t, crowd{bodiesInSmallPieces, route}) }
func TestBodiesInSmallPiecesAtNoRoute(t *testing.T) { play(t, crowd{bodiesInSmallPieces, noRoute}) }

func TestBodiesInSmallPiecesAtReadiness(t *testing.T) { play(t, crowd{bodiesInSmallPieces, readiness}) }

func TestBodiesInSmallPiecesAtMetrics(t *testing.T) { play(t, crowd{bodiesInSmallPieces, metrics}) }
func TestBodiesInSmallPiecesAtPeers(t *testing.T)   { play(t, crowd{bodiesInSmallPieces, peers}) }

func TestBodiesInChunksAtRoute(t *testing.T)     { play(t, crowd{bodiesInChunks, route}) }
func TestBodiesInChunksAtNoRoute(t *testing.T)   { play(t, crowd{bodiesInChunks, noRoute}) }
func TestBodiesInChunksAtReadiness(t *testing.T) { play(t, crowd{bodiesInChunks, readiness}) }
func TestBodiesInChunksAtMetrics(t *testing.T)   { play(t, crowd{bodiesInChunks, metrics}) }
func TestBodiesInChunksAtPeers(t *testing.T)     { play(t, crowd{bodiesInChunks, peers}) }

func TestBodiesOverTheLimitAtRoute(t *testing.T)     { play(t, crowd{bodiesOverTheLimit, route}) }
func TestBodiesOverTheLimitAtNoRoute(t *testing.T)   { play(t, crowd{bodiesOverTheLimit, noRoute}) }
func TestBodiesOverTheLimitAtReadiness(t *testing.T) { play(t, crowd{bodiesOverTheLimit, readiness}) }
func TestBodiesOverTheLimitAtMetrics(t *testing.T)   { play(t, crowd{bodiesOverTheLimit, metrics}) }
func TestBodiesOverTheLimitAtPeers(t *testing.T)     { play(t, crowd{bodiesOverTheLimit, peers}) }

func TestHeadsOfManyFieldsAtRoute(t *testing.T)     { play(t, crowd{headsOfManyFields, route}) }
func TestHeadsOfManyFieldsAtNoRoute(t *testing.T)   { play(t, crowd{headsOfManyFields, noRoute}) }
func TestHeadsOfManyFieldsAtReadiness(t *testing.T) { play(t, crowd{headsOfManyFields, readiness}) }
func TestHeadsOfManyFieldsAtMetrics(t *testing.T)   { play(t, crowd{headsOfManyFields, metrics}) }
func TestHeadsOfManyFieldsAtPeers(t *testing.T)     { play(t, crowd{headsOfManyFields, peers}) }

func TestRequestsAheadAtRoute(t *testing.T)     { play(t, crowd{requestsAhead, route}) }
func TestRequestsAheadAtNoRoute(t *testing.T)   { play(t, crowd{requestsAhead, noRoute}) }
func TestRequestsAheadAtReadiness(t *testing.T) { play(t, crowd{requestsAhead, readiness}) }
func TestRequestsAheadAtMetrics(t *testing.T)   { play(t, crowd{requestsAhead, metrics}) }
func TestRequestsAheadAtPeers(t *testing.T)     { play(t, crowd{requestsAhead, peers}) }

func TestOneByteASecondAtRoute(t *testing.T)     { play(t, crowd{oneByteASecond, route}) }
func TestOneByteASecondAtNoRoute(t *testing.T)   { play(t, crowd{oneByteASecond, noRoute}) }
func TestOneByteASecondAtReadiness(t *testing.T) { play(t, crowd{oneByteASecond, readiness}) }
func TestOneByteASecondAtMetrics(t *testing.T)   { play(t, crowd{oneByteASecond, metrics}) }
func TestOneByteASecondAtPeers(t *testing.T)     { play(t, crowd{oneByteASecond, peers}) }

func TestStopHalfWayAtRoute(t *testing.T)     { play(t, crowd{stopHalfWay, route}) }
func TestStopHalfWayAtNoRoute(t *testing.T)   { play(t, crowd{stopHalfWay, noRoute}) }
func TestStopHalfWayAtReadiness(t *testing.T) { play(t, crowd{stopHalfWay, readiness}) }
func TestStopHalfWayAtMetrics(t *testing.T)   { play(t, crowd{stopHalfWay, metrics}) }
func TestStopHalfWayAtPeers(t *testing.T)     { play(t, crowd{stopHalfWay, peers}) }

// Two kinds at once.

func TestOpenBodiesAndHeadsAtRoute(t *testing.T) {
	play(t, crowd{bodiesInOnePiece, route}, crowd{headsOfManyFields, route})
}

func TestRequestsAheadAndSlowClientsAtRoute(t *testing.T) {
	play(t, crowd{requestsAhead, route}, crowd{oneByteASecond, route})
}

func TestOpenBodiesAtRouteAndHeadsAtReadiness(t *testing.T) {
	play(t, crowd{bodiesInChunks, route}, crowd{headsOfManyFields, readiness})
}

func TestHeadsAtRouteAndStopsAtPeers(t *testing.T) {
	play(t, crowd{headsOfManyFields, route}, crowd{stopHalfWay, peers})
}
