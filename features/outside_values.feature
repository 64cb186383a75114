Feature: Values from outside that are out of range, too long or of another shape
  They cost at most the request, row or message that has them. The instance goes on.

  Scenario Outline: A caller's header field without bounds does not end the instance
    Given an engine route with one endpoint and two instances
    When a caller sends the header field "<name>" with the value "<value>"
    Then it is answered 200, and so are later requests at both instances, which hear each other

    Examples:
      | name            | value        |
      | X-Token-Usage   | 9 x 400      |
      | X-Token-Usage   | 1,9 x 400    |
      | X-Token-Usage   | 9 x 3000     |
      | X-Token-Usage   | -9 x 30      |
      | X-Length-Hint   | 9 x 400      |
      | X-Prompt-Prefix | f x 400:5    |
      | X-Prompt-Prefix | a:9 x 400    |
      | X-Prompt-Prefix | a:9 x 20     |
      | X-Prompt-Prefix | -f x 30:-5   |
      | Last-Event-Id   | 9 x 3000     |
      | X-Deadline-Ms   | 9 x 400      |
      | X-Deadline-Ms   | nan          |
      | Content-Length  | 0 x 3000     |

  Scenario Outline: An endpoint's header field without bounds does not end the instance
    Given a "safe" route with two endpoints that answer
    When the endpoints answer with the header field "<name>" and the value "<value>"
    Then all answers reach their callers, and the endpoints are not taken to be warming up

    Examples:
      | name        | value            |
      | Keep-Alive  | timeout=9 x 400  |
      | Keep-Alive  | timeout=-9 x 400 |
      | X-Warmup-Ms | 9 x 400          |
      | X-Warmup-Ms | 9 x 100          |
      | X-Warmup-Ms | 9 x 5000         |

  Scenario Outline: One odd entry among those of the endpoints ends no instance and hides no other entry
    Given a "safe" route with two endpoints that answer
    When another writer leaves the entry "odd" with <member> <value> among those of the endpoints
    Then every request is served by the other endpoints, also after a start, and a new endpoint is used

    Examples:
      | member         | value               |
      | address        | "127.0.0.1:70000"   |
      | address        | "127.0.0.1:0"       |
      | address        | "127.0.0.1:-1"      |
      | address        | "127.0.0.1:9 x 5000" |
      | address        | [[[[[["a"]]]]]]     |
      | batch_slots    | -3                  |
      | batch_slots    | 1e300               |
      | batch_slots    | 18446744073709551615 |
      | born           | -1                  |
      | born           | 18446744073709551615 |
      | warmup_left_ms | 1e308               |
      | warmup_left_ms | -1e308              |
      | zone           | ""                  |
      | service        | {"a": [1]}          |
      | state          | ["ready"]           |
      | everything     | [ x 900] x 900      |
      | everything     | [ x 100000] x 100000 |
      | everything     | 9 x 100000          |
      | everything     | nothing             |

  Scenario Outline: An entry whose identifier can't be a header value names no endpoint
    Given a "safe" route with two endpoints that answer
    When another writer leaves a copy of the entry of "e0" with the identifier <identifier>
    Then every request is served by the other endpoints, also after a start, and a new endpoint is used

    Examples:
      | identifier               |
      | "x\r\nX-Tenant: partner" |
      | "x\nX-Tenant: partner"    |
      | ""                       |
      | "x\x00"                  |
      | "y x 300"                |

  Scenario: Replies of the store of another shape end no instance, and following goes on
    Given a "safe" route with two endpoints that answer
    When the store answers oddly for a while, in turn with
      | operation | reply                                      |
      | rows-feed | {}                                         |
      | rows-feed | [1]                                        |
      | rows-feed |                                            |
      | rows-feed | {"rows": 5, "ver": 9}                      |
      | rows-feed | {"rows": [], "ver": "9"}                   |
      | rows-feed | {"rows": [], "ver": null}                  |
      | rows-feed | {"rows": [], "ver": -1}                    |
      | rows-feed | {"rows": [], "ver": 1e30}                  |
      | rows-feed | [ x 900] x 900                             |
      | rows-get  | {}                                         |
      | rows-get  | {"rows": [], "ver": 9, "more_pages": true} |
      | rows-get  | {"rows": [], "ver": 18446744073709551615}  |
      | rows-get  | {"rows": {"a": 1}, "ver": 9}               |
      | rows-tx   | [ x 9000                                   |
    Then the instances go on, and learn of a new endpoint and a new version

  Scenario: Odd rows in a reply of the store hide no other row
    Given a "safe" route with two endpoints that answer
    When each reply of the store has these rows before the others
      | row                                             |
      | 5                                               |
      | null                                            |
      | {}                                              |
      | {"key": 7, "value": "", "ver": 5}               |
      | {"key": "odd", "value": "no base64!", "ver": 5} |
      | {"key": "odd", "value": 5, "ver": 5}            |
      | {"key": "odd", "value": "e30=", "ver": "x"}     |
      | {"key": "odd", "value": "e30=", "ver": 1e30}    |
      | {"key": "odd", "value": "e30=", "ver": -4}      |
      | {"key": "odd", "removed": true, "ver": "x"}     |
      | {"key": "odd", "removed": true}                 |
      | [ x 900] x 900                                  |
    Then the instances go on, and learn of a new endpoint and a new version

  Scenario: An era of the store without bounds ends no instance and is passed on to none
    Given a "safe" route with two endpoints that answer
    When the store states for a while the eras
      | era     |
      | 9 x 30  |
      | 9 x 400 |
      | -9      |
      | x       |
    Then the instances go on, and learn of a new endpoint and a new version

  Scenario: An instance that doesn't find itself in the table of instances pauses before it registers again
    Given a "safe" route with two endpoints that answer
    When the store lists no instance for a second
    Then the instance has written its row at most 4 times

  Scenario: A store that never has the changes since a version is not asked without a pause
    Given a "safe" route with two endpoints that answer
    When the store answers each question for changes with status 410 for a second
    Then the instance has asked at most 60 times, and knows the endpoints that were added meanwhile

  Scenario: An odd row in the table of instances names no instance
    Given a "safe" route with two endpoints that answer
    When another writer leaves odd rows in the table of instances
    Then an instance that starts knows only the other instance, and both hear each other
