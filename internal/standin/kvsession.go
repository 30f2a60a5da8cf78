package standin

import "time"

// createSession adds a session whose TTL starts at now; a session with a zero
// ttl never expires. At the end of the session its keys are deleted if
// deletesKeys is set, and released otherwise.
func (s *kvStore) createSession(id, name string, ttl time.Duration, deletesKeys bool, now time.Time) {
	s.sessions[id] = &kvSession{ID: id, Name: name, TTL: ttl, deletesKeys: deletesKeys, expiresAt: now.Add(ttl)}
}

// renewSession restarts the session's TTL and returns the session, or nil if it
// has ended.
func (s *kvStore) renewSession(id string, now time.Time) *kvSession {
	session := s.sessions[id]
	if session != nil {
		session.expiresAt = now.Add(session.TTL)
	}
	return session
}

// destroySession ends a session and deletes or releases its keys.
func (s *kvStore) destroySession(id string) {
	session := s.sessions[id]
	if session == nil {
		return
	}
	delete(s.sessions, id)
	t := &kvTxn{store: s, index: s.index + 1, changes: make(map[string]*kvEntry)}
	for key, e := range s.entries {
		if e.Session != id {
			continue
		}
		if session.deletesKeys {
			t.changes[key] = nil
			continue
		}
		released := *e
		released.Session = ""
		released.ModifyIndex = t.index
		t.changes[key] = &released
	}
	t.commit()
}

// expireSessions ends the sessions whose TTL has elapsed at now.
func (s *kvStore) expireSessions(now time.Time) {
	for id, session := range s.sessions {
		if session.TTL > 0 && !now.Before(session.expiresAt) {
			s.destroySession(id)
		}
	}
}

// acquire writes value and makes session the holder of key. acquired is false
// if another session holds the key; known is false if session does not exist.
func (s *kvStore) acquire(key string, value []byte, flags uint64, session string) (acquired, known bool) {
	if s.sessions[session] == nil {
		return false, false
	}
	next := kvEntry{Key: key}
	if e := s.entries[key]; e != nil {
		next = *e
	}
	if next.Session != "" && next.Session != session {
		return false, true
	}
	if next.Session == "" {
		next.LockIndex++
	}
	next.Session = session
	next.Value = value
	next.Flags = flags
	s.replace(next)
	return true, true
}

// release releases key and reports whether session held it.
func (s *kvStore) release(key, session string) bool {
	e := s.entries[key]
	if e == nil || e.Session != session || session == "" {
		return false
	}
	next := *e
	next.Session = ""
	s.replace(next)
	return true
}
