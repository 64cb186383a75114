Feature: Wherever a call ends, its caller is told the truth about what ran

  # Guards against a 503 "not run" for a request that an endpoint has run, and against "may have
  # run" for one that was never sent: the call is ended at each of its awaits in turn.
  Scenario Outline: A call that ends within any of its awaits is told the truth
    Given a "<kind>" call whose endpoint <behaviour>
    When it ends by <cause> within each of its awaits in turn
    Then neither its caller nor the log is told that it did not run where it did
    And none that was never sent is told to have run

    Examples:
      | kind        | behaviour                          | cause                 |
      | stream_once | breaks off                         | the time of its route |
      | stream_once | breaks off                         | a planned stop        |
      | stream_once | breaks off                         | its caller leaving    |
      | once        | breaks off                         | the time of its route |
      | once        | answers                            | the time of its route |
      | once        | answers                            | a planned stop        |
      | once        | answers                            | its caller leaving    |
      | stream_once | answers                            | the time of its route |
      | once        | rejects it, then breaks off        | the time of its route |
      | once        | rejects it, then breaks off        | a planned stop        |
      | once        | rejects it                         | the time of its route |
      | once        | accepts no connection              | the time of its route |
      | once        | accepts no connection, then fails  | a planned stop        |
      | stream_once | breaks off within its answer       | the time of its route |
      | stream_once | breaks off within its answer       | its caller leaving    |
      | idempotent  | breaks off, then answers           | the time of its route |
      | idempotent  | breaks off, then rejects it        | a planned stop        |
      | stream_resumable | breaks off within its answer, then breaks off | the time of its route |
      | once        | errs while it is sent to           | the time of its route |
      | stream_once | errs while it answers              | a planned stop        |

  # Guards against an answer that waits until it is known whether an endpoint has ended, which
  # serves other requests.
  Scenario Outline: A call that is not sent again is answered before the end of its endpoint is known
    Given a "<kind>" call whose endpoint <behaviour>
    When it ends by itself
    Then it is answered 502 without a wait, and a crash of its prompt's part is counted afterwards

    Examples:
      | kind             | behaviour                  |
      | stream_once      | breaks off                 |
      | once             | breaks off                 |
      | stream_once      | breaks off within its answer |

  Scenario: A call that is sent again waits until it is known whether its endpoint has ended
    Given a "idempotent" call whose endpoint breaks off, then answers
    When it ends by itself
    Then it is answered 200 after the time in which an endpoint accepts a connection

  # Guards against an error of a kind that means "not run" for a request that may have run.
  Scenario: No error of a request that may have run bears a status that denies it
    When errors of every kind are written for requests that may have run
    Then none has a status that promises that the request did not run, or a time to come back
