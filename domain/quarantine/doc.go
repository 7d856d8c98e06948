// Package quarantine decides from crash reports on the control stream which
// requests may run. Requests are known by their fingerprint.
//
// # Rule
//
// A server's death is one incident with every fingerprint that was in flight on
// it. Reports about one server that lie within Config.ReportWindow of each other by
// the time of their records are one incident, whichever instances wrote them.
//
//   - A fingerprint in flight in an unexplained incident is a Suspect: it runs
//     alone on a server.
//   - A fingerprint in two or more unexplained incidents is Held: it is not run.
//     When one of the incidents has settled and everything else that was in
//     flight in it has run to its end since, the fingerprint is Quarantined.
//     Otherwise, after Config.HoldDuration, it is a Suspect again.
//   - A quarantine explains every incident of its fingerprint: the others that
//     were in flight there are no longer suspected for it.
//   - A Suspect that ran alone to its end is cleared.
//
// If instances run a Suspect alone and dispatch a request that was in flight on
// a dead server again only after its report has been read back, then a request
// that crashes every server takes down two: it may share the first one, is alone
// on the second, and does not run again. A request that crashes none is never
// alone on a server that another one crashes, so sharing a server does not
// quarantine it. Copies that are in flight on several servers at the same moment
// are beyond any rule that acts on reports; for them the hold bounds the deaths
// that follow.
package quarantine
