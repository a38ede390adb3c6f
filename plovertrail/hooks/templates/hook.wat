;; A hook for plovertrail, version 1 of the interface (docs/hook-abi.md): it tags each request with a header.
(module
  (memory (export "memory") 2)
  (global (export "plovertrail_abi") i32 (i32.const 1))
  (global (export "plovertrail_buffer") i32 (i32.const 1024))
  (global (export "plovertrail_buffer_size") i32 (i32.const 65536))

  ;; one record: the tag 65 (set a header), the lengths of name and value, the name, the value
  (data $verdict "\41\00\09\00\05\00\00\00" "X-Example" "hello")

  (func (export "on_request") (result i32)
    (memory.init $verdict (i32.const 1024) (i32.const 0) (i32.const 22))
    (i32.const 22)))
