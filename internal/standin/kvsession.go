package standin

import "time"

// createSession adds a session whose time to live starts at now; a zero ttl
// never expires. deletes chooses whether its keys are deleted or released.
func (s *kvStore) createSession(id, name string, ttl time.Duration, deletes bool, now time.Time) {
	s.sessions[id] = &kvSession{ID: id, Name: name, TTL: ttl, deletes: deletes, expires: now.Add(ttl)}
}

// renewSession restarts the session's time to live; nil when it is gone.
func (s *kvStore) renewSession(id string, now time.Time) *kvSession {
	session := s.sessions[id]
	if session != nil {
		session.expires = now.Add(session.TTL)
	}
	return session
}

// destroySession ends a session and gives up its keys.
func (s *kvStore) destroySession(id string) {
	session := s.sessions[id]
	if session == nil {
		return
	}
	delete(s.sessions, id)
	t := &kvTxn{store: s, index: s.index + 1, changed: make(map[string]*kvEntry)}
	for key, e := range s.entries {
		if e.Session != id {
			continue
		}
		if session.deletes {
			t.changed[key] = nil
			continue
		}
		released := *e
		released.Session = ""
		released.ModifyIndex = t.index
		t.changed[key] = &released
	}
	t.commit()
}

// expireSessions ends the sessions whose time to live is over.
func (s *kvStore) expireSessions(now time.Time) {
	for id, session := range s.sessions {
		if session.TTL > 0 && !now.Before(session.expires) {
			s.destroySession(id)
		}
	}
}

// acquire writes value and makes session the holder of key. It reports false
// when another session holds the key; known is false for a session that ended.
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

// release gives key up and reports whether session held it.
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
