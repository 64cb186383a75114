Feature: A planned stop of an entry instance ends no request without an answer

  Scenario Outline: A request needs longer than the instance has left
    Given a "<kind>" route whose endpoint answers "<behaviour>", and an instance with 4 seconds to stop
    When requests are sent 0.5 seconds before the stop, 1 and 2 seconds after it, on kept and new connections
    Then each of them is answered with "<status>" before the instance has stopped
    And no endpoint was given more time than the instance had left

    Examples:
      | kind   | behaviour | status |
      | unsafe | hang      | 504    |
      | safe   | hang      | 504    |

  Scenario: A stream that needs longer than the instance has left ends as broken off
    Given a "streaming" route whose endpoint answers "stream endlessly", and an instance with 4 seconds to stop
    When requests are sent 0.5 seconds before the stop, 1 and 2 seconds after it, on kept and new connections
    Then each of them ends as broken off before the instance has stopped
