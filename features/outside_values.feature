Feature: Values from outside that are out of range, too long or of another shape
  They cost at most the request, row or message that has them. The instance goes on.

  Scenario: Header fields of callers without bounds do not end the instance
    Given an engine route with one endpoint and two instances
    When a caller sends in turn requests with the header fields
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
    Then all are answered 200, and so are later requests at both instances, which hear each other

  Scenario: Header fields of endpoints without bounds do not end the instance
    Given a "safe" route with two endpoints that answer
    When the endpoints answer in turn with the header fields
      | name        | value            |
      | Keep-Alive  | timeout=9 x 400  |
      | Keep-Alive  | timeout=-9 x 400 |
      | X-Warmup-Ms | 9 x 400          |
      | X-Warmup-Ms | 9 x 100          |
      | X-Warmup-Ms | 9 x 5000         |
    Then all answers reach their callers, and the endpoints are not taken to be warming up

  Scenario: Odd entries among those of the endpoints end no instance and hide no other entry
    Given a "safe" route with two endpoints that answer
    When another writer leaves entries among those of the endpoints, each with
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
    Then every request is served by the other endpoints, also after a start, and a new endpoint is used

  Scenario: Entries whose identifier can't be a header value name no endpoint
    Given a "safe" route with two endpoints that answer
    When another writer leaves copies of an entry with the identifiers
      | identifier               |
      | "x\r\nX-Tenant: partner" |
      | "x\nX-Tenant: partner"    |
      | ""                       |
      | "x\x00"                  |
      | "y x 300"                |
    Then every request is served by the other endpoints, also after a start, and a new endpoint is used

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

  Scenario: Datagrams of any shape and number end no instance and change nothing
    Given two instances with two endpoints
    When datagrams arrive whose members are replaced by
      | message  | member                 | value                               |
      | datagram | host                   | "nowhere"                           |
      | datagram | host                   | "host.example"                      |
      | datagram | host                   | "a\u0000b"                          |
      | datagram | host                   | "a x 70"                            |
      | datagram | host                   | ""                                  |
      | datagram | sequence               | -1                                  |
      | datagram | sequence               | 18446744073709551615                |
      | datagram | parts                  | 0                                   |
      | datagram | part                   | -1                                  |
      | report   | instance               | ""                                  |
      | report   | config_version         | 18446744073709551615                |
      | report   | members_era            | 18446744073709551615                |
      | report   | members_version        | -1                                  |
      | report   | loads                  | [1]                                 |
      | report   | loads                  | [1, -5, -5]                         |
      | report   | loads                  | [1, 18446744073709551615, 1]        |
      | report   | placements             | [[]]                                |
      | report   | placements             | [[1, 2]]                            |
      | report   | placements             | [[1, 2, -3]]                        |
      | report   | placements             | [[1, 2, 18446744073709551615]]      |
      | report   | refusals               | [-1]                                |
      | report   | usage                  | {"mothers": "nan"}                  |
      | report   | usage                  | {"mothers": "inf"}                  |
      | report   | demand                 | {"mothers": "nan"}                  |
      | report   | demand                 | {"mothers": 1e300}                  |
      | report   | crashes                | [[1]]                               |
      | report   | crashes                | [[1, 18446744073709551615, 5, 5, 5]] |
      | report   | leaving                | [-1]                                |
      | notice   | instance               | ""                                  |
      | notice   | op_version             | 18446744073709551615                |
      | notice   | op_era                 | -1                                  |
      | notice   | warming                | [1]                                 |
      | notice   | warming                | [-1, 5]                             |
    Then both instances still hear each other alone, and answer

  Scenario: Two datagrams of one report that disagree on its parts end no instance
    Given two instances with two endpoints
    When part 5 of 6 and part 0 of 2 arrive with the same number
    Then both instances still hear each other alone, and answer

  Scenario: A report that can't be applied is passed on like any other
    Given two instances with two endpoints
    When a report that neither can apply arrives from another failure domain at the first
    Then the second has got it, too

  Scenario: An endless warm-up in a notice hides none of the other warm-ups
    Given two instances with two endpoints
    When a notice states that "e0" warms up for 584 million years and "e1" for 3 seconds
    Then the instance takes "e1" alone to be warming up

  Scenario: An endless generation of a crash count hides no other count, and is passed on to none
    Given two instances with two endpoints
    When a report states a count with the generation 72057594037927935 and one that leads to a refusal
    Then the instance takes over the latter alone

  Scenario: Snapshots of any shape and number end no instance and hide no later one
    Given two instances with two endpoints
    When an instance fetches snapshots whose members are replaced by
      | member          | value                                             |
      | config_version  | "6"                                               |
      | config_version  | null                                              |
      | config_version  | 18446744073709551616                              |
      | config_row      | 5                                                 |
      | config_row      | "[ x 9000"                                        |
      | members_era     | "1"                                               |
      | members_era     | 1e30                                              |
      | members_version | -1                                                |
      | members_version | 18446744073709551616                              |
      | members         | {"e0": 5}                                         |
      | members         | [1]                                               |
      | leaving         | 5                                                 |
      | leaving         | ["x"]                                             |
      | leaving         | [{}]                                              |
      | instances       | {"a": 5}                                          |
      | instances       | {"a": ["b"]}                                      |
      | instances       | {"a": "nowhere", "b": "a\u0000b", "": "10.0.0.1"} |
      | evacuated       | 5                                                 |
      | evacuated       | [{}]                                              |
      | op_era          | "1"                                               |
      | op_version      | 18446744073709551616                              |
      | added           | [ x 100000                                        |
      | added           | [ x 100000] x 100000                              |
    Then both instances still hear each other alone, and answer

  Scenario Outline: A question for a snapshot with an odd version is answered
    Given two instances with two endpoints
    When a snapshot newer than the version "<version>" is asked for
    Then it is answered 200, and both instances go on

    Examples:
      | version  |
      | %C2%B2   |
      | 9 x 5000 |
      | -1       |

  Scenario Outline: An unexpected error in a background task is logged, and the task goes on
    Given a "safe" route with two endpoints that answer
    When "<step>" raises an error three times
    Then the error is logged with its cause, and the instances learn of a new endpoint and a new version

    Examples:
      | step                        |
      | _state.members.expire       |
      | _state.apply_configuration  |
      | _state.update_endpoints     |
      | _state.notify               |
      | _peers.apply_report         |
      | _peers.list_hosts           |
      | _peers.forget_silent        |
      | _snapshots._list_fetch_hosts |
      | _registry._read_instances   |
      | _handler.queues.dispatch    |

  Scenario: An odd route of a configuration hides no other, and its requests go to no other service
    Given routes "/" to "general" and "/orders/" to "orders"
    When configurations come whose route "/orders/" has
      | member            | value                       |
      | timeout_ms        | 1e300                       |
      | timeout_ms        | -5                          |
      | timeout_ms        | "x"                         |
      | target_latency_ms | null                        |
      | name              | 5                           |
      | service           | 5                           |
      | max_attempts      | 1e30                        |
      | priority          | 18446744073709551615        |
      | gap_aim_ms        | 1e300                       |
      | allowed_regions   | [[ x 900] x 900]            |
      | backends          | [{"service": "orders"}]     |
      | backends          | [{"service": "orders", "weight": -1}, {"service": "general", "weight": 0}] |
      | backends          | [{"service": "orders", "weight": 1e308}, {"service": "general", "weight": 1e308}] |
    Then requests for "/" are served, and those for "/orders/" are refused with 503 and reach no endpoint

  Scenario: Odd accounts and services of a configuration hide no others, and an odd account's keys are not valid
    Given routes "/" to "general" and "/orders/" to "orders"
    When a configuration comes with odd accounts and services beside the others
    Then the key of the sound account is served on both routes, and those of the odd ones get 401

  Scenario: A configuration that can't be used leaves the one before in force, and a later one is learned
    Given routes "/" to "general" and "/orders/" to "orders"
    When configurations come with these members, and a sound one after each
      | member  | value                        |
      | version | 1e300                        |
      | version | 18446744073709551615         |
      | limits  | {"max_header_bytes": -1}     |
      | limits  | 5                            |
      | routes  | [{"host": 5, "prefix": "/"}] |
      | routes  | [5]                          |
      | routes  | {}                           |
      | tenants | 5                            |
      | all     | [ x 100000                   |
    Then each time the version before stays in force until the sound one