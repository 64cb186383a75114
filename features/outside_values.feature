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
